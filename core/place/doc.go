// Package place decides which task runs on which worker of one availability zone. Scheduler is a
// deterministic state machine without I/O: Step takes an event and the current time and returns
// decisions. The caller commits an Assign durably before it sends the task to the worker. After a
// leader change, the caller builds a new Scheduler from durable state, with Submit events in which
// Task.Assignment is set.
package place
