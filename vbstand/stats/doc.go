// Package stats computes waiting time percentiles and goodput from the sends of journals.
package stats
