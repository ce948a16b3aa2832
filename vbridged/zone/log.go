package zone

import (
	"context"

	"vanillabridge/core/state"
)

// Proposer appends a command to the log of the zone's group, wherever its leader is, and
// returns the encoded result of applying it.
type Proposer interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Log proposes commands.
type Log struct{ group Proposer }

// NewLog returns a Log over the group.
func NewLog(group Proposer) Log { return Log{group: group} }

// Propose returns the result of c once it is committed. An error that is fault.ErrUnknown
// leaves open whether it will be.
func (l Log) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(c)
	if err != nil {
		return state.Result{}, err
	}
	answer, err := l.group.Propose(ctx, data)
	if err != nil {
		return state.Result{}, err
	}
	var result state.Result
	err = state.Decode(answer, &result)
	return result, err
}
