// Package fleet runs a domain. A domain consists of cores, which have disks and form one replicated
// group, and of fronts, which have no disk and forward callers' requests to the leading core. The
// leader schedules jobs and sends orders to the workers.
//
// The decisions are made in core/ledger and core/plan; this package owns sockets, goroutines and
// timers. The protocols of workers and of the ticket service are behind the interfaces Workers and
// Tickets; those of callers and operators are in the packages that use Front and Domain.
package fleet
