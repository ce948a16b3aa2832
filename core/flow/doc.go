// Package flow describes jobs whose tasks run in steps, and the configuration of a domain that
// runs them: queues, pools of workers and limits. All values are plain data without I/O.
package flow
