package zone

import (
	"context"

	"vanillabridge/core/state"
)

// Proposer appends a command to the log of the zone group, forwarding it to the leader if
// necessary, and returns the encoded result of applying it.
type Proposer interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Log proposes commands to the log of the zone group.
type Log struct{ proposer Proposer }

// NewLog returns a Log that proposes commands through proposer.
func NewLog(proposer Proposer) Log { return Log{proposer: proposer} }

// Propose proposes c and returns its result once it is committed and applied. The error
// fault.ErrUnknown means that c may still be committed.
func (l Log) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(c)
	if err != nil {
		return state.Result{}, err
	}
	answer, err := l.proposer.Propose(ctx, data)
	if err != nil {
		return state.Result{}, err
	}
	var result state.Result
	err = state.Decode(answer, &result)
	return result, err
}
