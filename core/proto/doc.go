// Package proto defines the request and response bodies and the header names of
// the HTTP interface for workers, backend servers, callers and operators.
package proto
