package store

import (
	"sync"

	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
)

// Memory is a Store without a data folder. It forgets everything at the end of the process, so
// every start is a new life of the replica.
type Memory struct {
	inc model.Incarnation

	mu   sync.Mutex
	snap quorum.Snapshot
	sum  uint32
}

// NewMemory returns an empty store; the random number becomes the incarnation.
func NewMemory(random uint64) *Memory { return &Memory{inc: model.Incarnation(random)} }

// Incarnation identifies this life of the replica.
func (m *Memory) Incarnation() model.Incarnation { return m.inc }

// Restored returns nothing.
func (m *Memory) Restored() (quorum.RestoredState, quorum.Snapshot) {
	return quorum.RestoredState{}, quorum.Snapshot{}
}

// Write keeps a received snapshot; the entries are already in the memory of the Node.
func (m *Memory) Write(batch []quorum.Persist) error {
	for _, p := range batch {
		if p.Snapshot != nil {
			_ = m.Save(*p.Snapshot)
		}
	}
	return nil
}

// Save keeps a snapshot for sending it to others.
func (m *Memory) Save(s quorum.Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.Meta.Index > m.snap.Meta.Index {
		m.snap, m.sum = s, quorum.SnapshotChecksum(s.Data)
	}
	return nil
}

// Compact does nothing: the Node drops the entries itself.
func (m *Memory) Compact(uint64) error { return nil }

// Chunk returns a part of the newest snapshot, or a zero Chunk if there is none.
func (m *Memory) Chunk(offset, limit uint64) (quorum.SnapshotChunk, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := uint64(len(m.snap.Data))
	offset = min(offset, size)
	data := m.snap.Data[offset:min(size, offset+limit)]
	return quorum.SnapshotChunk{Meta: m.snap.Meta, Offset: offset, TotalSize: size, Checksum: m.sum, Data: data}, nil
}

// Counters returns zeros, because nothing is written.
func (m *Memory) Counters() Counters { return Counters{} }

// Close does nothing.
func (m *Memory) Close() error { return nil }
