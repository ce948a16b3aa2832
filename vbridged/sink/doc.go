// Package sink writes log lines without blocking the code that logs: lines are queued in a bounded
// buffer for a single writer goroutine, the number of lines per second is limited, and lines over
// either limit are dropped, counted and reported.
package sink
