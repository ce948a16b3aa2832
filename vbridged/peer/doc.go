// Package peer connects the instances of a cell with JSON-RPC over TCP. It counts the bytes sent
// and received, by method and by whether they cross a region boundary.
package peer
