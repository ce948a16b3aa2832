// Package model defines the value types that all components share: identifiers,
// resource sizes, urgencies and the three kinds of work. Values are immutable;
// With methods return modified copies.
package model
