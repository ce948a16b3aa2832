// Package store keeps the state of a replica in a data folder: the log in append-only
// segments, snapshots, and the identity of the replica.
//
// Every record carries its length and a checksum. A record that was being written when the
// process died is cut off; any other damage is reported as fault.ErrCorrupt and never served.
package store
