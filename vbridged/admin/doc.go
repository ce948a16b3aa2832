// Package admin serves the HTTP interface of an instance: operators, workers,
// health, metrics and the timeline. Callers' requests and announcements of backend
// servers go through it to the handlers of package entry.
package admin
