// Package member decides which backend servers are eligible for new requests, based on their
// announcements and on failed connections. It does no I/O and reads no clock: the caller passes
// in the time.
package member
