package model

import "vanillabridge/core/clock"

// Work is one of Service, Batch and Gang.
type Work interface {
	// Common returns what all kinds of work have in common.
	Common() Base
	work()
}

// Base is what all kinds of work have in common.
type Base struct {
	Name    string  `json:"name" cbor:"1,keyasint"`
	Team    Team    `json:"team" cbor:"2,keyasint"`
	Zones   []Zone  `json:"zones" cbor:"3,keyasint"`
	Size    Size    `json:"size" cbor:"4,keyasint"`
	Urgency Urgency `json:"urgency" cbor:"5,keyasint"`
	Count   int     `json:"count" cbor:"6,keyasint"`
}

// Service is long-running work: its tasks are spread, and replaced when they end.
type Service struct {
	Base `cbor:"1,keyasint"`
}

// Batch is a set of independent tasks that each run to an end.
type Batch struct {
	Base       `cbor:"1,keyasint"`
	Run        string       `json:"run" cbor:"2,keyasint"`
	Time       clock.Millis `json:"time" cbor:"3,keyasint"` // declared run time of one task
	Checkpoint bool         `json:"checkpoint" cbor:"4,keyasint"`
}

// Gang is a set of tasks that start together or not at all.
type Gang struct {
	Base       `cbor:"1,keyasint"`
	Run        string       `json:"run" cbor:"2,keyasint"`
	Time       clock.Millis `json:"time" cbor:"3,keyasint"` // declared run time of one task
	Checkpoint bool         `json:"checkpoint" cbor:"4,keyasint"`
}

// Common returns the part that all kinds of work share.
func (b Base) Common() Base { return b }

func (Service) work() {}
func (Batch) work()   {}
func (Gang) work()    {}

// WithSize returns a copy with another declared size.
func (b Base) WithSize(s Size) Base {
	b.Size = s
	return b
}

// WithCount returns a copy with another number of tasks.
func (b Base) WithCount(n int) Base {
	b.Count = n
	return b
}

// WithRun returns a copy under another run label.
func (b Batch) WithRun(run string) Batch {
	b.Run = run
	return b
}

// WithRun returns a copy under another run label.
func (g Gang) WithRun(run string) Gang {
	g.Run = run
	return g
}

// WithRun returns a copy of a batch or gang under another run label; a service has none.
func WithRun(w Work, run string) Work {
	switch w := w.(type) {
	case Batch:
		return w.WithRun(run)
	case Gang:
		return w.WithRun(run)
	default:
		return w
	}
}

// Box carries a Work through encodings that have no sum types; exactly one field is set.
type Box struct {
	Service *Service `json:"service,omitempty" cbor:"1,keyasint,omitempty"`
	Batch   *Batch   `json:"batch,omitempty" cbor:"2,keyasint,omitempty"`
	Gang    *Gang    `json:"gang,omitempty" cbor:"3,keyasint,omitempty"`
}

// NewBox wraps w.
func NewBox(w Work) Box {
	switch w := w.(type) {
	case Service:
		return Box{Service: &w}
	case Batch:
		return Box{Batch: &w}
	case Gang:
		return Box{Gang: &w}
	default:
		return Box{}
	}
}

// Work returns the wrapped work, or nil for an empty box.
func (b Box) Work() Work {
	switch {
	case b.Service != nil:
		return *b.Service
	case b.Batch != nil:
		return *b.Batch
	case b.Gang != nil:
		return *b.Gang
	default:
		return nil
	}
}
