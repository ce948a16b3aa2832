// Package proto holds the bodies of the HTTP interface towards workers, backend
// servers and operators, and the names of its headers.
package proto
