package peer

import (
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"vanillabridge/core/fault"
)

// Codes of the sentinels on the wire; new ones go to the end.
const (
	codeInvalid int64 = -32010 - iota
	codeConflict
	codeNotFound
	codeNotLeader
	codeUnavailable
	codeOverloaded
	codeUnknown
	codeCorrupt
	codeStopped
	codeTooLarge
)

func sentinels() []struct {
	code int64
	err  error
} {
	return []struct {
		code int64
		err  error
	}{
		{codeInvalid, fault.ErrInvalid},
		{codeConflict, fault.ErrConflict},
		{codeNotFound, fault.ErrNotFound},
		{codeNotLeader, fault.ErrNotLeader},
		{codeUnavailable, fault.ErrUnavailable},
		{codeOverloaded, fault.ErrOverloaded},
		{codeUnknown, fault.ErrUnknown},
		{codeCorrupt, fault.ErrCorrupt},
		{codeStopped, fault.ErrStopped},
		{codeTooLarge, fault.ErrTooLarge},
	}
}

// toWire turns an error of a handler into one that keeps its sentinel over the wire. An error
// without a sentinel is one whose effect is not known.
func toWire(err error) *jsonrpc2.Error {
	for _, s := range sentinels() {
		if errors.Is(err, s.err) {
			return &jsonrpc2.Error{Code: s.code, Message: fault.Text(err)}
		}
	}
	return &jsonrpc2.Error{Code: codeUnknown, Message: fault.Text(err)}
}

// fromWire is the inverse of toWire.
func fromWire(e *jsonrpc2.Error) error {
	if e.Code == jsonrpc2.CodeMethodNotFound {
		return fault.Wrap(fault.ErrUnavailable, "%s", e.Message)
	}
	for _, s := range sentinels() {
		if e.Code == s.code {
			return fault.Wrap(s.err, "%s", e.Message)
		}
	}
	return fault.Wrap(fault.ErrUnknown, "%s", e.Message)
}
