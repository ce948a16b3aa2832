// Package model holds the values that all roles share: names, sizes, urgencies
// and the three kinds of work. Values are immutable; With methods return changed
// copies.
package model
