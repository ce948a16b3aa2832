package quorum

// persistence tracks which state is durable and which changes are yet to be written.
type persistence struct {
	// lastSeq is the number of the newest Persist output, hardStateSeq of the newest one that
	// changed HardState, and syncedSeq of the newest one that is durable.
	lastSeq      uint64
	hardStateSeq uint64
	syncedSeq    uint64
	// stableIndex is the highest index up to which the log is durable.
	stableIndex uint64
	inFlight    []persistInFlight

	hardStateDirty bool
	// dirtyFromIndex is the index of the first entry to write, or 0 if there is none.
	dirtyFromIndex  uint64
	unsavedSnapshot *Snapshot
}

// persistInFlight is a Persist output that is not yet durable. Once it is, the log is durable up
// to lastIndex, and a snapshot that it carried can be installed.
type persistInFlight struct {
	seq       uint64
	lastIndex uint64
	snapshot  *Snapshot
}

// heldMessage is a message that is held back until the Persist output numbered awaitedSeq is
// durable.
type heldMessage struct {
	// needsLog is set if the message depends on the log or a snapshot, and not on HardState only.
	needsLog   bool
	awaitedSeq uint64
	message    Message
}

// markDirty records that the log changed from the given index on.
func (p *persistence) markDirty(from uint64) {
	if p.dirtyFromIndex == 0 || from < p.dirtyFromIndex {
		p.dirtyFromIndex = from
	}
	p.stableIndex = min(p.stableIndex, from-1)
	for i := range p.inFlight {
		p.inFlight[i].lastIndex = min(p.inFlight[i].lastIndex, from-1)
	}
}

// send queues a message that is sent once the term and vote of this replica are durable.
func (n *Node) send(m Message) { n.holdMessage(m, false) }

// sendAfterLogSync queues a message that acknowledges entries or a snapshot. It is sent once these
// are durable too.
func (n *Node) sendAfterLogSync(m Message) { n.holdMessage(m, true) }

func (n *Node) holdMessage(m Message, needsLog bool) {
	m.Group, m.From, m.BootstrapID = n.cfg.Group, n.cfg.Self, n.hardState.BootstrapID
	m.ReadsJoint = m.Kind == KindAppendReply || m.Kind == KindSnapshotChunkReply
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.heldMessages = append(n.heldMessages, heldMessage{needsLog: needsLog, message: m, awaitedSeq: unsetSeq})
}

const unsetSeq = ^uint64(0)

// emitPersist emits a Persist output with the changes of this step, and assigns newly queued
// messages the number of the Persist output that they wait for.
func (n *Node) emitPersist() {
	p := &n.persistence
	if p.hardStateDirty || p.dirtyFromIndex != 0 || p.unsavedSnapshot != nil {
		p.lastSeq++
		output := Persist{Seq: p.lastSeq, HardState: n.hardState, Snapshot: p.unsavedSnapshot}
		if p.dirtyFromIndex != 0 {
			output.Entries = n.log.slice(p.dirtyFromIndex, n.log.lastIndex(), int(^uint(0)>>1))
		}
		if p.hardStateDirty {
			p.hardStateSeq = p.lastSeq
		}
		p.inFlight = append(p.inFlight, persistInFlight{seq: p.lastSeq, lastIndex: n.log.lastIndex(), snapshot: p.unsavedSnapshot})
		p.hardStateDirty, p.dirtyFromIndex, p.unsavedSnapshot = false, 0, nil
		n.outputs = append(n.outputs, output)
	}
	for i := range n.heldMessages {
		if n.heldMessages[i].awaitedSeq != unsetSeq {
			continue
		}
		n.heldMessages[i].awaitedSeq = p.hardStateSeq
		if n.heldMessages[i].needsLog {
			n.heldMessages[i].awaitedSeq = p.lastSeq
		}
	}
}

// releaseMessages emits the held messages whose state is durable and delivers those addressed to
// this replica directly. It reports whether there were any of the latter, since these can cause
// more output.
func (n *Node) releaseMessages() bool {
	queue := n.heldMessages
	n.heldMessages = nil
	var kept []heldMessage
	var toSelf []Message
	for _, h := range queue {
		switch {
		case h.awaitedSeq > n.persistence.syncedSeq:
			kept = append(kept, h)
		case h.message.To == n.cfg.Self:
			toSelf = append(toSelf, h.message)
		default:
			n.outputs = append(n.outputs, Send{To: h.message.To.Name, Message: h.message})
		}
	}
	n.heldMessages = kept
	for _, m := range toSelf {
		n.receive(m)
	}
	return len(toSelf) > 0
}

func (n *Node) handlePersisted(seq uint64) {
	p := &n.persistence
	p.syncedSeq = max(p.syncedSeq, min(seq, p.lastSeq))
	for len(p.inFlight) > 0 && p.inFlight[0].seq <= p.syncedSeq {
		m := p.inFlight[0]
		p.inFlight = p.inFlight[1:]
		p.stableIndex = max(p.stableIndex, m.lastIndex)
		if m.snapshot != nil {
			n.emitInstallSnapshot(*m.snapshot)
		}
	}
	if n.role == leader {
		n.advanceCommitIndex()
	}
}
