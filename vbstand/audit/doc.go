// Package audit checks the guarantees that the design page states against journals. It compares
// what workers and backend servers ran with what callers and operators were told.
package audit
