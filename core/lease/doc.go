// Package lease ensures that no task runs on two workers at a time. Worker implements the worker's
// side of the worker protocol and Tracker the leader's; both are state machines without I/O. A worker
// stops its tasks when its lease ends. The leader declares an unresponsive worker lost only once the
// lease must have ended on the worker's clock as well.
package lease
