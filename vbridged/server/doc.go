// Package server assembles an instance from its parts: the replicas of its
// consensus groups, the scheduler, the request path and the HTTP API. It
// starts them and shuts them down gracefully.
package server
