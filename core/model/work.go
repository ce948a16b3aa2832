package model

import "vanillabridge/core/clock"

// Work is a Service, Batch or Gang.
type Work interface {
	// Common returns the fields that all kinds of work share.
	Common() Base
	isWork()
}

// Base holds the fields that all kinds of work share.
type Base struct {
	Name    string  `json:"name" cbor:"1,keyasint"`
	Team    Team    `json:"team" cbor:"2,keyasint"`
	Zones   []Zone  `json:"zones" cbor:"3,keyasint"`
	Size    Size    `json:"size" cbor:"4,keyasint"`
	Urgency Urgency `json:"urgency" cbor:"5,keyasint"`
	Count   int     `json:"count" cbor:"6,keyasint"`
}

// Service is long-running work: its tasks are spread over its zones and replaced when they end.
type Service struct {
	Base `cbor:"1,keyasint"`
}

// Batch is a set of independent tasks that run to completion.
type Batch struct {
	Base       `cbor:"1,keyasint"`
	Run        string       `json:"run" cbor:"2,keyasint"`  // run label; name and run label identify the job
	Time       clock.Millis `json:"time" cbor:"3,keyasint"` // declared run time of one task
	Checkpoint bool         `json:"checkpoint" cbor:"4,keyasint"`
}

// Gang is a set of tasks that start together or not at all.
type Gang struct {
	Base       `cbor:"1,keyasint"`
	Run        string       `json:"run" cbor:"2,keyasint"`  // run label; name and run label identify the job
	Time       clock.Millis `json:"time" cbor:"3,keyasint"` // declared run time of one task
	Checkpoint bool         `json:"checkpoint" cbor:"4,keyasint"`
}

// Common returns the fields that all kinds of work share.
func (b Base) Common() Base { return b }

func (Service) isWork() {}
func (Batch) isWork()   {}
func (Gang) isWork()    {}

// WithSize returns a copy with the given size per task.
func (b Base) WithSize(s Size) Base {
	b.Size = s
	return b
}

// WithCount returns a copy with the given number of tasks.
func (b Base) WithCount(n int) Base {
	b.Count = n
	return b
}

// WithRun returns a copy with the given run label.
func (b Batch) WithRun(run string) Batch {
	b.Run = run
	return b
}

// WithRun returns a copy with the given run label.
func (g Gang) WithRun(run string) Gang {
	g.Run = run
	return g
}

// WithRun returns a copy of a batch or gang with the given run label. A service has no run label
// and is returned unchanged.
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

// EncodedWork is the encoded form of a Work, for encodings without sum types. Exactly one field is set.
type EncodedWork struct {
	Service *Service `json:"service,omitempty" cbor:"1,keyasint,omitempty"`
	Batch   *Batch   `json:"batch,omitempty" cbor:"2,keyasint,omitempty"`
	Gang    *Gang    `json:"gang,omitempty" cbor:"3,keyasint,omitempty"`
}

// EncodeWork returns the encoded form of w.
func EncodeWork(w Work) EncodedWork {
	switch w := w.(type) {
	case Service:
		return EncodedWork{Service: &w}
	case Batch:
		return EncodedWork{Batch: &w}
	case Gang:
		return EncodedWork{Gang: &w}
	default:
		return EncodedWork{}
	}
}

// Decode returns the work, or nil if no field is set.
func (e EncodedWork) Decode() Work {
	switch {
	case e.Service != nil:
		return *e.Service
	case e.Batch != nil:
		return *e.Batch
	case e.Gang != nil:
		return *e.Gang
	default:
		return nil
	}
}
