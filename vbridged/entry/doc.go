// Package entry is the HTTP path of callers' requests on an entry instance. It connects the
// pure packages member, permit, admit, route, retry and once with sockets and timers.
package entry
