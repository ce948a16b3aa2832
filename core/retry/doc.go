// Package retry decides whether and when a failed attempt is repeated. It is pure: time
// does not enter, and its randomness is seeded.
package retry
