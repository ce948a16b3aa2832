package fault

import (
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("vanillabridge")

	invalid     = namespace.NewType("invalid")
	conflict    = namespace.NewType("conflict")
	notFound    = namespace.NewType("notfound")
	notLeader   = namespace.NewType("notleader")
	unavailable = namespace.NewType("unavailable")
	overloaded  = namespace.NewType("overloaded")
	unknown     = namespace.NewType("unknown")
	corrupt     = namespace.NewType("corrupt")
	stopped     = namespace.NewType("stopped")
	tooLarge    = namespace.NewType("toolarge")
)

// Sentinels for errors.Is.
var (
	// ErrInvalid means that the input is invalid; a retry does not help.
	ErrInvalid error = invalid.NewWithNoMessage()
	// ErrConflict means that a concurrent change was accepted first.
	ErrConflict error = conflict.NewWithNoMessage()
	// ErrNotFound means that the named object does not exist.
	ErrNotFound error = notFound.NewWithNoMessage()
	// ErrNotLeader means that this replica is not the leader of the group; nothing was done.
	ErrNotLeader error = notLeader.NewWithNoMessage()
	// ErrUnavailable means that nothing was done because no quorum or server could be reached.
	ErrUnavailable error = unavailable.NewWithNoMessage()
	// ErrOverloaded means that nothing was done because a limit was reached.
	ErrOverloaded error = overloaded.NewWithNoMessage()
	// ErrUnknown means that the operation may or may not have taken effect.
	ErrUnknown error = unknown.NewWithNoMessage()
	// ErrCorrupt means that stored or received data failed an integrity check.
	ErrCorrupt error = corrupt.NewWithNoMessage()
	// ErrStopped means that the component has stopped or is stopping.
	ErrStopped error = stopped.NewWithNoMessage()
	// ErrTooLarge means that the input exceeds a size limit.
	ErrTooLarge error = tooLarge.NewWithNoMessage()
)

// Text returns the message of an error without the name of its sentinel, for human readers. The
// status of the response already conveys the sentinel.
func Text(err error) string {
	text := err.Error()
	for _, t := range []*errorx.Type{
		invalid, conflict, notFound, notLeader, unavailable, overloaded, unknown, corrupt, stopped, tooLarge,
	} {
		text = strings.ReplaceAll(text, ", cause: "+t.FullName(), "")
	}
	return text
}

// Wrap adds a description of the failed operation to cause. The result matches cause with
// errors.Is.
func Wrap(cause error, format string, args ...any) error {
	return errorx.Decorate(cause, format, args...)
}
