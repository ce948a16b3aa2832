// Package audit checks journals against the guarantees that the design page states. It compares
// what workers and backend servers ran with what callers and operators were told.
package audit
