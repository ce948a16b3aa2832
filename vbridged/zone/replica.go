package zone

import (
	"sync"

	"k8s.io/klog/v2"

	"vanillabridge/core/state"
)

// Replica guards the state of one zone. Its Apply, Snapshot and Restore are called by the
// runtime of the group, in the order of the log.
type Replica struct {
	mu   sync.RWMutex
	zone *state.Zone

	subscribers []func(state.Change) // set before the group starts
}

// NewReplica returns a replica with an empty state.
func NewReplica() *Replica { return &Replica{zone: state.NewZone()} }

// Subscribe registers f for every later change. f is called in the order of the log and must
// not block. Call it before the group starts.
func (r *Replica) Subscribe(f func(state.Change)) {
	r.subscribers = append(r.subscribers, f)
}

// Apply applies a committed command and returns its encoded result.
func (r *Replica) Apply(index uint64, data []byte) []byte {
	c, err := state.DecodeCommand(data)
	if err != nil {
		// Every replica fails to decode the same bytes, so skipping them keeps replicas equal.
		klog.ErrorS(err, "skip a command of the zone log", "index", index)
		return encode(state.Result{Reason: err.Error()})
	}
	r.mu.Lock()
	result, changes := r.zone.Apply(c)
	r.mu.Unlock()
	r.publish(changes)
	return encode(result)
}

// Snapshot encodes the state.
func (r *Replica) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.zone.Snapshot()
}

// Restore replaces the state with a snapshot.
func (r *Replica) Restore(data []byte) error {
	r.mu.Lock()
	err := r.zone.Restore(data)
	version, _ := r.zone.Config()
	r.mu.Unlock()
	if err == nil && version > 0 {
		r.publish([]state.Change{state.ConfigChanged{Version: version}})
	}
	return err
}

// View calls f with the state, which f must neither change nor keep.
func (r *Replica) View(f func(*state.Zone)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.zone)
}

func (r *Replica) publish(changes []state.Change) {
	for _, c := range changes {
		for _, f := range r.subscribers {
			f(c)
		}
	}
}

func encode(result state.Result) []byte {
	data, err := state.Encode(result)
	if err != nil {
		panic(err) // a Result holds nothing that cannot be encoded
	}
	return data
}
