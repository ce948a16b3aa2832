// Package stats computes percentiles and rates of journals.
package stats
