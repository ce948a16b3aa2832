// Package admit queues requests that wait for a permit, with weighted fair queueing by caller
// and class, and refuses requests early that cannot start before their deadline. It does no
// I/O and reads no clock: callers pass the time.
package admit
