package quorum

// disk tracks which state is durable and withholds what depends on the rest.
type disk struct {
	// seq numbers Persist outputs; hardSeq is the last that changed Hard.
	seq     uint64
	hardSeq uint64
	synced  uint64
	// stable is the last index such that the log up to it is durable.
	stable uint64
	marks  []mark

	dirtyHard bool
	// dirtyFrom is the first entry to write, or 0.
	dirtyFrom uint64
	snapshot  *Snapshot
}

// mark says up to which index the log is durable once a Persist is.
type mark struct {
	seq     uint64
	index   uint64
	install *Snapshot
}

// held is an output that waits for a Persist.
type held struct {
	// all says that it depends on all state of its step rather than on Hard only.
	all bool
	seq uint64
	msg Message
}

// dirty notes that the log changed from index on.
func (d *disk) dirty(from uint64) {
	if d.dirtyFrom == 0 || from < d.dirtyFrom {
		d.dirtyFrom = from
	}
	d.stable = min(d.stable, from-1)
	for i := range d.marks {
		d.marks[i].index = min(d.marks[i].index, from-1)
	}
}

// send queues a message; the term it carries must be durable before it leaves.
func (n *Node) send(m Message) { n.queue(m, false) }

// sendSynced queues a message that confirms entries or a snapshot.
func (n *Node) sendSynced(m Message) { n.queue(m, true) }

func (n *Node) queue(m Message, all bool) {
	m.Group, m.From, m.Found = n.cfg.Group, n.cfg.Self, n.hard.Found
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.queued = append(n.queued, held{all: all, msg: m, seq: unset})
}

const unset = ^uint64(0)

// flushPersist emits what this step changed and gives queued messages the number they wait for.
func (n *Node) flushPersist() {
	d := &n.disk
	if d.dirtyHard || d.dirtyFrom != 0 || d.snapshot != nil {
		d.seq++
		p := Persist{Seq: d.seq, Hard: n.hard, Snapshot: d.snapshot}
		if d.dirtyFrom != 0 {
			p.Entries = n.log.slice(d.dirtyFrom, n.log.last(), int(^uint(0)>>1))
		}
		if d.dirtyHard {
			d.hardSeq = d.seq
		}
		d.marks = append(d.marks, mark{seq: d.seq, index: n.log.last(), install: d.snapshot})
		d.dirtyHard, d.dirtyFrom, d.snapshot = false, 0, nil
		n.out = append(n.out, p)
	}
	for i := range n.queued {
		if n.queued[i].seq != unset {
			continue
		}
		n.queued[i].seq = d.hardSeq
		if n.queued[i].all {
			n.queued[i].seq = d.seq
		}
	}
}

// release emits messages whose state is durable and delivers those to this replica itself.
// It reports whether the latter may have caused more output.
func (n *Node) release() bool {
	queue := n.queued
	n.queued = nil
	var kept []held
	var own []Message
	for _, h := range queue {
		switch {
		case h.seq > n.disk.synced:
			kept = append(kept, h)
		case h.msg.To == n.cfg.Self:
			own = append(own, h.msg)
		default:
			n.out = append(n.out, Send{To: h.msg.To.Name, Message: h.msg})
		}
	}
	n.queued = kept
	for _, m := range own {
		n.receive(m)
	}
	return len(own) > 0
}

func (n *Node) persisted(seq uint64) {
	d := &n.disk
	d.synced = max(d.synced, min(seq, d.seq))
	for len(d.marks) > 0 && d.marks[0].seq <= d.synced {
		m := d.marks[0]
		d.marks = d.marks[1:]
		d.stable = max(d.stable, m.index)
		if m.install != nil {
			n.installed(*m.install)
		}
	}
	if n.role == leader {
		n.advanceCommit()
	}
}
