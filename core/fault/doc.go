// Package fault holds the error sentinels that packages share and that callers
// test with errors.Is.
package fault
