// Package fault defines the sentinel errors that packages share. Test for them
// with errors.Is.
package fault
