package zone

import (
	"sync"

	"k8s.io/klog/v2"

	"vanillabridge/core/state"
)

// Replica is the replicated state of one zone, safe for concurrent use. The zone group calls
// Apply, Snapshot and Restore in the order of its log.
type Replica struct {
	mu   sync.RWMutex
	zone *state.Zone

	subscribers []func(state.Change) // set before the group starts
}

// NewReplica returns a Replica with empty state.
func NewReplica() *Replica { return &Replica{zone: state.NewZone()} }

// Subscribe registers f to be called for each change of the state. f is called in the order of the
// log and must not block. Subscribe must be called before the group starts.
func (r *Replica) Subscribe(f func(state.Change)) {
	r.subscribers = append(r.subscribers, f)
}

// Apply applies a committed command and returns its encoded result.
func (r *Replica) Apply(index uint64, data []byte) []byte {
	c, err := state.DecodeCommand(data)
	if err != nil {
		// Decoding is deterministic, so all replicas skip the same commands and stay consistent.
		klog.ErrorS(err, "decode zone command failed, command skipped", "index", index)
		return encodeResult(state.Result{Reason: err.Error()})
	}
	r.mu.Lock()
	result, changes := r.zone.Apply(c)
	r.mu.Unlock()
	r.notifySubscribers(changes)
	return encodeResult(result)
}

// Snapshot returns the encoded state.
func (r *Replica) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.zone.Snapshot()
}

// Restore replaces the state with that of an encoded snapshot.
func (r *Replica) Restore(data []byte) error {
	r.mu.Lock()
	err := r.zone.Restore(data)
	version, _ := r.zone.Config()
	r.mu.Unlock()
	if err == nil && version > 0 {
		r.notifySubscribers([]state.Change{state.ConfigChanged{Version: version}})
	}
	return err
}

// View calls f with the state under a read lock. f must neither modify nor retain the state.
func (r *Replica) View(f func(*state.Zone)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.zone)
}

func (r *Replica) notifySubscribers(changes []state.Change) {
	for _, c := range changes {
		for _, f := range r.subscribers {
			f(c)
		}
	}
}

func encodeResult(result state.Result) []byte {
	data, err := state.Encode(result)
	if err != nil {
		panic(err) // unreachable: every Result can be encoded
	}
	return data
}
