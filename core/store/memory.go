package store

import (
	"sync"

	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
)

// Memory is a Store without a data directory. Its content is lost when the process ends, so every
// start is a new incarnation of the replica.
type Memory struct {
	incarnation model.Incarnation

	mu       sync.Mutex
	snapshot quorum.Snapshot
	checksum uint32
}

// NewMemory returns an empty store. The random number becomes the incarnation.
func NewMemory(random uint64) *Memory { return &Memory{incarnation: model.Incarnation(random)} }

// Incarnation returns the incarnation of the replica.
func (m *Memory) Incarnation() model.Incarnation { return m.incarnation }

// Restored returns empty state.
func (m *Memory) Restored() (quorum.RestoredState, quorum.Snapshot) {
	return quorum.RestoredState{}, quorum.Snapshot{}
}

// Write keeps a received snapshot. The entries are already in the memory of the quorum.Node.
func (m *Memory) Write(batch []quorum.Persist) error {
	for _, p := range batch {
		if p.Snapshot != nil {
			_ = m.SaveSnapshot(*p.Snapshot)
		}
	}
	return nil
}

// SaveSnapshot keeps a snapshot, so that it can be sent to followers.
func (m *Memory) SaveSnapshot(s quorum.Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.Meta.Index > m.snapshot.Meta.Index {
		m.snapshot, m.checksum = s, quorum.SnapshotChecksum(s.Data)
	}
	return nil
}

// Compact does nothing, because the store holds no entries.
func (m *Memory) Compact(uint64) error { return nil }

// ReadSnapshotChunk returns up to limit bytes of the newest snapshot from offset on, or a zero chunk
// if there is no snapshot.
func (m *Memory) ReadSnapshotChunk(offset, limit uint64) (quorum.SnapshotChunk, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := uint64(len(m.snapshot.Data))
	offset = min(offset, size)
	data := m.snapshot.Data[offset:min(size, offset+limit)]
	return quorum.SnapshotChunk{Meta: m.snapshot.Meta, Offset: offset, TotalSize: size, Checksum: m.checksum, Data: data}, nil
}

// Counters returns zeros, because nothing is written to disk.
func (m *Memory) Counters() Counters { return Counters{} }

// Close does nothing.
func (m *Memory) Close() error { return nil }
