// Package store keeps the durable state of a replica in a data directory: the log in append-only
// segment files, the newest snapshot, and the identity of the replica.
//
// Every log record carries its length and a checksum. A torn last record, whose write was
// interrupted by a crash, is truncated. Any other damage is reported as fault.ErrCorrupt, and
// damaged data is never returned.
package store
