package trace

import (
	"bytes"
	"io"
	"sync"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// Entry is a recorded event.
type Entry struct {
	Stamp   Stamp
	Process string     // name#incarnation of the recording process
	Zone    model.Zone // of the recording process
	Seq     uint64     // number of the event within the incarnation of the process, starting at 1
	Event   Event
}

// DefaultCapacity is the number of events that a Recorder keeps if Options specify none. They
// take about 8 MB of the 128 MB that a control process may use.
const DefaultCapacity = 32_768

// Options configure a Recorder.
type Options struct {
	Process  string // name#incarnation, to distinguish the incarnations of a process
	Zone     model.Zone
	Source   clock.Source
	Capacity int       // number of events kept; DefaultCapacity if zero
	Sink     io.Writer // Flush writes each event to it as a line of JSON; nil for none
}

// Recorder keeps the recent events of one process in a ring buffer. Record does no I/O, so that
// a slow disk never delays a scheduling decision. The owner must call Flush periodically and
// before it exits.
type Recorder struct {
	process  string
	zone     model.Zone
	capacity int
	clock    *Clock

	mu   sync.Mutex
	ring []record
	seq  uint64 // of the latest event; event n is at ring[(n-1)%capacity]

	sinkMu            sync.Mutex
	sink              io.Writer
	flushedSeq        uint64 // seq of the latest event that Flush has processed
	lostEvents        uint64 // events that were not written to the sink
	endsInPartialLine bool   // the last write failed and may have ended within a line
}

type record struct {
	stamp Stamp
	event Event
}

// NewRecorder returns an empty recorder.
func NewRecorder(o Options) *Recorder {
	capacity := o.Capacity
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Recorder{process: o.Process, zone: o.Zone, capacity: capacity, clock: NewClock(o.Source), sink: o.Sink}
}

// Record adds an event and returns its stamp.
func (r *Recorder) Record(e Event) Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	added := record{stamp: r.clock.Next(), event: e}
	if len(r.ring) < r.capacity {
		r.ring = append(r.ring, added)
	} else {
		r.ring[r.seq%uint64(r.capacity)] = added
	}
	r.seq++
	return added.stamp
}

// Stamp advances the clock and returns its reading, to be sent with a message.
func (r *Recorder) Stamp() Stamp { return r.clock.Next() }

// Merge advances the clock past the stamp of a received message. It returns false and leaves
// the clock unchanged if the stamp is out of range.
func (r *Recorder) Merge(s Stamp) bool { return r.clock.Merge(s) }

// Events returns the events in the buffer that match the filter, oldest first.
func (r *Recorder) Events(f Filter) []Entry {
	return f.Apply(r.eventsSince(0))
}

// eventsSince returns the events in the buffer with a sequence number above seq, oldest first.
func (r *Recorder) eventsSince(seq uint64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := max(seq, r.seq-uint64(len(r.ring)))
	out := make([]Entry, 0, r.seq-first)
	for n := first; n < r.seq; n++ {
		kept := r.ring[n%uint64(r.capacity)]
		out = append(out, Entry{Stamp: kept.stamp, Process: r.process, Zone: r.zone, Seq: n + 1, Event: kept.event})
	}
	return out
}

// Flush writes the events since the last Flush to the sink. Events that cannot be written are
// counted as lost and not retried, so that a failing disk does not block later events.
func (r *Recorder) Flush() error {
	r.sinkMu.Lock()
	defer r.sinkMu.Unlock()
	if r.sink == nil {
		return nil
	}
	entries := r.eventsSince(r.flushedSeq)
	if len(entries) == 0 {
		return nil
	}
	r.lostEvents += entries[0].Seq - r.flushedSeq - 1
	r.flushedSeq = entries[len(entries)-1].Seq
	var text bytes.Buffer
	if r.endsInPartialLine {
		text.WriteByte('\n')
	}
	if err := WriteLines(&text, entries); err != nil {
		return err
	}
	_, err := r.sink.Write(text.Bytes())
	r.endsInPartialLine = err != nil
	if err != nil {
		r.lostEvents += uint64(len(entries))
		return fault.Wrap(err, "write %d events to the event sink", len(entries))
	}
	return nil
}

// LostEvents returns the number of events that were not written to the sink.
func (r *Recorder) LostEvents() uint64 {
	r.sinkMu.Lock()
	defer r.sinkMu.Unlock()
	return r.lostEvents
}
