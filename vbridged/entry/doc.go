// Package entry is the HTTP reverse proxy for callers' requests on an entry instance. It
// connects the packages member, permit, admit, route, retry and once, which do no I/O, with
// sockets and timers.
package entry
