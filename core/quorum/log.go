package quorum

import "slices"

// raftLog holds the entries after baseIndex. Entries up to baseIndex are compacted.
type raftLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

func (l *raftLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index. It reports false if the entry is compacted or
// beyond the end of the log.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// slice returns the entries from index from through to, up to limit bytes but at least one entry.
func (l *raftLog) slice(from, to uint64, limit int) []Entry {
	if from <= l.baseIndex || from > to || from > l.lastIndex() {
		return nil
	}
	part := l.entries[from-l.baseIndex-1 : min(to, l.lastIndex())-l.baseIndex]
	size := 0
	for i, e := range part {
		size += e.approxSize()
		if i > 0 && size > limit {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

func (l *raftLog) truncate(from uint64) {
	// Clipping makes later appends copy the array, which messages in flight still refer to.
	l.entries = slices.Clip(l.entries[:from-l.baseIndex-1])
}

func (l *raftLog) compact(to uint64) {
	if to <= l.baseIndex {
		return
	}
	term, ok := l.term(to)
	if !ok {
		return
	}
	l.entries = slices.Clone(l.entries[to-l.baseIndex:])
	l.baseIndex, l.baseTerm = to, term
}

func (l *raftLog) reset(index, term uint64) {
	l.baseIndex, l.baseTerm, l.entries = index, term, nil
}

// isUpToDate reports whether a log that ends at the given index and term is at least as up to date
// as this one, by Raft's comparison of last term and then last index.
func (l *raftLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.lastIndex())
}
