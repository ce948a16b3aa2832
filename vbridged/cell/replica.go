package cell

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"vanillabridge/core/state"
)

// Replica is the replicated state of the cell, safe for concurrent use. The cell group calls
// Apply, Snapshot and Restore in the order of its log.
type Replica struct {
	mu   sync.RWMutex
	cell *state.Cell
}

// NewReplica returns a Replica with empty state.
func NewReplica() *Replica { return &Replica{cell: state.NewCell()} }

// Apply applies a committed configuration submission and returns its encoded result.
func (r *Replica) Apply(index uint64, data []byte) []byte {
	s, err := state.DecodeSubmit(data)
	if err != nil {
		// Decoding is deterministic, so all replicas skip the same commands and stay consistent.
		klog.ErrorS(err, "decode cell command failed, command skipped", "index", index)
		return encodeResult(state.SubmitResult{})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return encodeResult(r.cell.Apply(s))
}

// Snapshot returns the encoded state.
func (r *Replica) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.cell.Snapshot()
}

// Restore replaces the state with that of an encoded snapshot.
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

// Proposer appends a submission to the log of the cell group, forwarding it to the leader if
// necessary, and returns the encoded result of applying it.
type Proposer interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Submit proposes s and returns its result once it is committed and applied. The error
// fault.ErrUnknown means that s may still be committed.
func Submit(ctx context.Context, proposer Proposer, s state.Submit) (state.SubmitResult, error) {
	data, err := state.Encode(s)
	if err != nil {
		return state.SubmitResult{}, err
	}
	answer, err := proposer.Propose(ctx, data)
	if err != nil {
		return state.SubmitResult{}, err
	}
	var result state.SubmitResult
	err = state.Decode(answer, &result)
	return result, err
}

func encodeResult(result state.SubmitResult) []byte {
	data, err := state.Encode(result)
	if err != nil {
		panic(err) // unreachable: every SubmitResult can be encoded
	}
	return data
}
