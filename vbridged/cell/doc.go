// Package cell holds an instance's replica of the state that all zones share.
package cell
