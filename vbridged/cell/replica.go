package cell

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"vanillabridge/core/state"
)

// Replica guards the state of the cell. Its Apply, Snapshot and Restore are called by the
// runtime of the group, in the order of the log.
type Replica struct {
	mu   sync.RWMutex
	cell *state.Cell
}

// NewReplica returns a replica with an empty state.
func NewReplica() *Replica { return &Replica{cell: state.NewCell()} }

// Apply applies a committed submission and returns its encoded result.
func (r *Replica) Apply(index uint64, data []byte) []byte {
	s, err := state.DecodeSubmit(data)
	if err != nil {
		// Every replica fails to decode the same bytes, so skipping them keeps replicas equal.
		klog.ErrorS(err, "skip a command of the cell log", "index", index)
		return encode(state.SubmitResult{})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return encode(r.cell.Apply(s))
}

// Snapshot encodes the state.
func (r *Replica) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.cell.Snapshot()
}

// Restore replaces the state with a snapshot.
func (r *Replica) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cell.Restore(data)
}

// Config returns the newest configuration that this replica has applied.
func (r *Replica) Config() (version uint64, document string) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.cell.Config()
}

// Proposer appends a submission to the log of the cell's group, wherever its leader is, and
// returns the encoded result of applying it.
type Proposer interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Submit returns the result of s once it is committed. An error that is fault.ErrUnknown
// leaves open whether it will be.
func Submit(ctx context.Context, group Proposer, s state.Submit) (state.SubmitResult, error) {
	data, err := state.Encode(s)
	if err != nil {
		return state.SubmitResult{}, err
	}
	answer, err := group.Propose(ctx, data)
	if err != nil {
		return state.SubmitResult{}, err
	}
	var result state.SubmitResult
	err = state.Decode(answer, &result)
	return result, err
}

func encode(result state.SubmitResult) []byte {
	data, err := state.Encode(result)
	if err != nil {
		panic(err) // a SubmitResult holds nothing that cannot be encoded
	}
	return data
}
