package fault_test

import (
	"errors"
	"testing"

	"vanillabridge/core/fault"
)

// Guards against a version of errorx whose Decorate hides the sentinel from errors.Is, and
// against a Text that keeps the name of the sentinel.
func TestWrapKeepsSentinel(t *testing.T) {
	err := fault.Wrap(fault.ErrConflict, "submit version %d", 7)
	if !errors.Is(err, fault.ErrConflict) {
		t.Fatalf("errors.Is(%v, ErrConflict) = false", err)
	}
	if errors.Is(err, fault.ErrInvalid) {
		t.Fatalf("errors.Is(%v, ErrInvalid) = true", err)
	}
	if got, want := err.Error(), "submit version 7"; len(got) < len(want) || got[:len(want)] != want {
		t.Fatalf("message %q does not start with %q", got, want)
	}
	twice := fault.Wrap(err, "call east1")
	if got, want := fault.Text(twice), "call east1, cause: submit version 7"; got != want {
		t.Fatalf("text of a wrapped error = %q, want %q", got, want)
	}
}
