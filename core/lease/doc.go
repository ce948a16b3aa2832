// Package lease keeps the promise that no task runs in two places. Worker is the worker's side of
// the worker protocol and Keeper the leader's; both are state machines without I/O. The worker
// stops its tasks when its lease ends, and the leader gives a silent worker up only after that
// moment has surely passed on the worker's clock too.
package lease
