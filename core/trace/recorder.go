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
	Process string     // the recording process
	Zone    model.Zone // of the recording process
	Seq     uint64     // grows by one with each event of a life of the process
	Event   Event
}

// DefaultSize is the number of events that a Recorder keeps if Options state none. They take
// about 8 MB of the 128 MB that a control process may use.
const DefaultSize = 32_768

// Options configure a Recorder.
type Options struct {
	Process string // name#incarnation, so that two lives of a process are told apart
	Zone    model.Zone
	Source  clock.Source
	Size    int       // events kept; DefaultSize if zero
	Sink    io.Writer // gets each event as a line of JSON on Flush; nil for none
}

// Recorder keeps the recent events of one process. Record does no I/O, so that a slow disk
// never delays a decision; the owner calls Flush from a timer and before it exits.
type Recorder struct {
	process string
	zone    model.Zone
	size    int
	clock   *Clock

	mu   sync.Mutex
	ring []record
	seq  uint64 // of the latest event; event n is at ring[(n-1)%size]

	sinkMu  sync.Mutex
	sink    io.Writer
	flushed uint64 // seq of the latest event handed to the sink
	lost    uint64 // events that did not reach the sink
	torn    bool   // the last write may have ended within a line
}

type record struct {
	stamp Stamp
	event Event
}

// NewRecorder returns an empty recorder.
func NewRecorder(o Options) *Recorder {
	size := o.Size
	if size <= 0 {
		size = DefaultSize
	}
	return &Recorder{process: o.Process, zone: o.Zone, size: size, clock: NewClock(o.Source), sink: o.Sink}
}

// Record adds an event and returns its stamp.
func (r *Recorder) Record(e Event) Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	added := record{stamp: r.clock.Next(), event: e}
	if len(r.ring) < r.size {
		r.ring = append(r.ring, added)
	} else {
		r.ring[r.seq%uint64(r.size)] = added
	}
	r.seq++
	return added.stamp
}

// Stamp returns a reading of the clock, to be sent with a message.
func (r *Recorder) Stamp() Stamp { return r.clock.Next() }

// Merge moves the clock past the stamp of a received message. It reports false, and does
// nothing, if the stamp is beyond any working clock.
func (r *Recorder) Merge(s Stamp) bool { return r.clock.Merge(s) }

// Events returns the kept events that the filter selects, oldest first.
func (r *Recorder) Events(f Filter) []Entry {
	return f.Apply(r.since(0))
}

// since returns the kept events whose sequence number is above seq, oldest first.
func (r *Recorder) since(seq uint64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := max(seq, r.seq-uint64(len(r.ring)))
	out := make([]Entry, 0, r.seq-first)
	for n := first; n < r.seq; n++ {
		kept := r.ring[n%uint64(r.size)]
		out = append(out, Entry{Stamp: kept.stamp, Process: r.process, Zone: r.zone, Seq: n + 1, Event: kept.event})
	}
	return out
}

// Flush writes the events since the last Flush to the sink. Events that it could not write are
// counted as lost and not tried again, so that a failing disk cannot hold back later events.
func (r *Recorder) Flush() error {
	r.sinkMu.Lock()
	defer r.sinkMu.Unlock()
	if r.sink == nil {
		return nil
	}
	entries := r.since(r.flushed)
	if len(entries) == 0 {
		return nil
	}
	r.lost += entries[0].Seq - r.flushed - 1
	r.flushed = entries[len(entries)-1].Seq
	var text bytes.Buffer
	if r.torn {
		text.WriteByte('\n')
	}
	if err := WriteLines(&text, entries); err != nil {
		return err
	}
	_, err := r.sink.Write(text.Bytes())
	r.torn = err != nil
	if err != nil {
		r.lost += uint64(len(entries))
		return fault.Wrap(err, "write %d events to the sink", len(entries))
	}
	return nil
}

// Lost returns the number of events that did not reach the sink.
func (r *Recorder) Lost() uint64 {
	r.sinkMu.Lock()
	defer r.sinkMu.Unlock()
	return r.lost
}
