package peer

import (
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"vanillabridge/core/fault"
)

// JSON-RPC error codes of the fault sentinels. They are part of the wire protocol: append new codes
// at the end.
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

func sentinelCodes() []struct {
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

// encodeError converts a handler's error to a JSON-RPC error whose code identifies its sentinel. An
// error without a sentinel becomes codeUnknown, because the request may have taken effect.
func encodeError(err error) *jsonrpc2.Error {
	for _, s := range sentinelCodes() {
		if errors.Is(err, s.err) {
			return &jsonrpc2.Error{Code: s.code, Message: fault.Text(err)}
		}
	}
	return &jsonrpc2.Error{Code: codeUnknown, Message: fault.Text(err)}
}

// decodeError is the inverse of encodeError.
func decodeError(e *jsonrpc2.Error) error {
	if e.Code == jsonrpc2.CodeMethodNotFound {
		return fault.Wrap(fault.ErrUnavailable, "%s", e.Message)
	}
	for _, s := range sentinelCodes() {
		if e.Code == s.code {
			return fault.Wrap(s.err, "%s", e.Message)
		}
	}
	return fault.Wrap(fault.ErrUnknown, "%s", e.Message)
}
