// Package admin is a stand-in for operators: it submits configurations, waits for jobs, and
// watches what instances report. It records what it was told.
package admin
