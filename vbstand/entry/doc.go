// Package entry sends requests to a list of entry instances with failover. It stands in for
// the platform's balancer.
package entry
