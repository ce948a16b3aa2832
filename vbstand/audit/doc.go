// Package audit checks the promises of the design page against journals: what really ran
// against what callers and operators were told.
package audit
