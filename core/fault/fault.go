package fault

import (
	"strings"

	"github.com/joomcode/errorx"
)

var (
	space = errorx.NewNamespace("vanillabridge")

	invalid     = space.NewType("invalid")
	conflict    = space.NewType("conflict")
	notFound    = space.NewType("notfound")
	notLeader   = space.NewType("notleader")
	unavailable = space.NewType("unavailable")
	overloaded  = space.NewType("overloaded")
	unknown     = space.NewType("unknown")
	corrupt     = space.NewType("corrupt")
	stopped     = space.NewType("stopped")
	tooLarge    = space.NewType("toolarge")
)

// Sentinels for errors.Is.
var (
	// ErrInvalid says that the input breaks a rule; it is final.
	ErrInvalid error = invalid.NewWithNoMessage()
	// ErrConflict says that another change was accepted first.
	ErrConflict error = conflict.NewWithNoMessage()
	// ErrNotFound says that the named thing does not exist.
	ErrNotFound error = notFound.NewWithNoMessage()
	// ErrNotLeader says that another replica leads the group; nothing was done.
	ErrNotLeader error = notLeader.NewWithNoMessage()
	// ErrUnavailable says that nothing was done because no majority or server could be reached.
	ErrUnavailable error = unavailable.NewWithNoMessage()
	// ErrOverloaded says that nothing was done because a limit was reached.
	ErrOverloaded error = overloaded.NewWithNoMessage()
	// ErrUnknown says that it is not known whether the operation took effect.
	ErrUnknown error = unknown.NewWithNoMessage()
	// ErrCorrupt says that stored or received bytes failed a check.
	ErrCorrupt error = corrupt.NewWithNoMessage()
	// ErrStopped says that the component has stopped or is stopping.
	ErrStopped error = stopped.NewWithNoMessage()
	// ErrTooLarge says that the input exceeds a size limit.
	ErrTooLarge error = tooLarge.NewWithNoMessage()
)

// Text returns the message of an error without the name of its sentinel, for people. What a
// sentinel means is told to them by the status of the answer.
func Text(err error) string {
	text := err.Error()
	for _, t := range []*errorx.Type{
		invalid, conflict, notFound, notLeader, unavailable, overloaded, unknown, corrupt, stopped, tooLarge,
	} {
		text = strings.ReplaceAll(text, ", cause: "+t.FullName(), "")
	}
	return text
}

// Wrap adds what was tried to a cause; errors.Is still finds the cause.
func Wrap(cause error, format string, args ...any) error {
	return errorx.Decorate(cause, format, args...)
}
