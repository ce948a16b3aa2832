// Package clock holds the one time type of the system and the port through
// which adapters read the time.
package clock
