// Package sink writes log lines without ever blocking the code that logs: lines wait in a bounded
// buffer for one writer, a budget bounds the lines of a second, and lines that don't fit are
// counted and reported.
package sink
