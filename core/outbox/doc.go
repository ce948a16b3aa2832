// Package outbox orders the calls of a leader to its workers: which order is sent next, how many are
// in progress at a time, and which have waited too long to be sent at all. It does no I/O.
//
// A worker gets few orders at a time, one if there are many workers, so that a worker that doesn't
// answer holds up its own orders only and uses few connections. The processes of a worker that starts
// again are kept apart. The number of orders in progress to all workers is bounded, because each needs
// a descriptor.
package outbox
