// Package flow defines jobs, whose tasks run in steps, and the configuration of the domain that runs
// them: queues, pools of workers and limits on requests. It holds plain data types without I/O.
package flow
