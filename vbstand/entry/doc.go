// Package entry is an HTTP client for a list of entry instances. Its users switch to the next instance
// when a request fails, as the load balancer of a platform would.
package entry
