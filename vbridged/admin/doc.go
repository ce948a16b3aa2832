// Package admin serves the HTTP interface of an instance: the API for operators and workers, health
// checks, metrics and the timeline. It passes callers' requests and announcements of backend servers
// to the handlers of package entry.
package admin
