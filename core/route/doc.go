// Package route chooses a backend server for a request and decides when requests spill to
// another zone. It is pure: time is passed in and its randomness is seeded.
package route
