// Package place decides which task runs on which worker of one availability zone. Scheduler is a
// deterministic state machine without I/O: Step takes an event and the current time and returns
// decisions. The caller commits an Assign durably before a worker hears of it, and builds a new
// Scheduler from durable state after a change of leader (Submit with Task.Placed set).
package place
