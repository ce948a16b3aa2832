// Package clock defines the time type that all packages use, and the clocks that
// provide the current time.
package clock
