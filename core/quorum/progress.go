package quorum

import (
	"slices"

	"vanillabridge/core/clock"
)

// never is before every time that a clock shows.
const never clock.Millis = -1 << 60

// progress is what a leader knows about another replica.
type progress struct {
	match uint64
	next  uint64
	// probing limits sending to one message per heartbeat until the logs agree.
	probing bool
	paused  bool
	flight  []uint64
	// sentAcked is the leader's clock in the newest request that the replica answered.
	sentAcked clock.Millis
	lastSend  clock.Millis
	// told is the commit index that was last sent; asked says that a read waits for a newer one.
	told    uint64
	asked   bool
	witness bool
	// lazyNext is when a witness is next fed, and lazyGoal the index up to which it then is.
	lazyNext clock.Millis
	lazyGoal uint64
	transfer *transfer
}

func (p *progress) active(now, within clock.Millis) bool { return now-p.sentAcked <= within }

// acked notes that the replica holds the log up to index.
func (p *progress) acked(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.flight = slices.DeleteFunc(p.flight, func(last uint64) bool { return last <= p.match })
	p.probing, p.paused = false, false
	p.transfer = nil
}

// rejected notes that the logs do not agree at index and may at hint.
func (p *progress) rejected(index, hint uint64) {
	if index <= p.match || (p.probing && index+1 != p.next) {
		return
	}
	p.next = max(p.match, min(index-1, hint)) + 1
	p.flight = nil
	p.probing, p.paused = true, false
}

// quorum returns the value that a majority of voters has reached.
func quorum[T clock.Millis | uint64](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// majoritySent returns the newest time such that a majority answered a request sent then or later.
// A replica that never answered counts with floor.
func (n *Node) majoritySent(floor clock.Millis) clock.Millis {
	var at []clock.Millis
	for _, id := range n.voters() {
		if id == n.cfg.Self {
			at = append(at, n.now)
		} else if p := n.peers[id]; p != nil {
			at = append(at, max(p.sentAcked, floor))
		}
	}
	return quorum(at)
}

func (n *Node) advanceCommit() {
	var at []uint64
	for _, id := range n.voters() {
		if id == n.cfg.Self {
			at = append(at, n.disk.stable)
		} else if p := n.peers[id]; p != nil {
			at = append(at, p.match)
		}
	}
	index := quorum(at)
	// An entry of an earlier term may still be replaced although a majority holds it.
	if term, ok := n.log.term(index); !ok || term != n.hard.Term || index <= n.commit {
		return
	}
	n.commit = index
}
