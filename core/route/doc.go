// Package route selects a backend server for each request and decides when requests may spill over
// to another zone. It performs no I/O and is deterministic: the time is passed in and the random
// source is seeded.
package route
