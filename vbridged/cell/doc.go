// Package cell holds an instance's replica of the cell state, which all zones
// share: the accepted configuration.
package cell
