// Package peer connects the instances of a cell with JSON-RPC over TCP and counts
// the bytes that this takes, by purpose and by whether they cross regions.
package peer
