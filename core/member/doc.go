// Package member decides which backend servers are eligible for new requests, from their
// announcements and from failed connections. It is pure: time is passed in.
package member
