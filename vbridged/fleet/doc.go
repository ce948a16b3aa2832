// Package fleet runs a domain: a replicated group of the instances with disks whose leader calls
// the workers, and the instances without disks that hand callers' requests to it.
//
// The decisions are in core/ledger and core/plan; this package owns sockets, goroutines and time.
// How callers, workers, the ticket service and the operator are spoken to is behind the ports
// Workers and Tickets and in whatever calls Front and Domain.
package fleet
