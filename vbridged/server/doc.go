// Package server puts the parts of an instance together: its replicas of the
// groups, the scheduler, the request path and the HTTP interface. It owns their
// start and the graceful shutdown.
package server
