package state

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/tombs"
)

// maxTombstones is the number of cancellations of unknown jobs that a zone records. They are kept for endedJobRetention.
const maxTombstones = 65_536

// RecordTombstones makes replicas record cancellations that name no job from now on: a run that is accepted later is then
// cancelled. Versions that can't do so skip it, so a leader proposes it only once all members of its group can.
type RecordTombstones struct{}

func (RecordTombstones) command() {}

// LateJobCancelled reports that a job was cancelled as it was accepted, because its cancellation came before.
type LateJobCancelled struct {
	Job model.JobID
	Age clock.Millis // of the cancellation
}

// TombstonesDropped reports that the oldest cancellations of unknown jobs were dropped for want of room.
type TombstonesDropped struct{ Count int }

func (LateJobCancelled) change()  {}
func (TombstonesDropped) change() {}

// zoneDataWithTombstones is the content of a snapshot of a Zone that records tombstones. Versions that can't do so don't
// read it.
type zoneDataWithTombstones struct {
	_          struct{} `cbor:",toarray"`
	Zone       zoneData
	Tombstones []tombs.Entry // oldest first
}

// RecordsTombstones reports whether cancellations that name no job are recorded.
func (z *Zone) RecordsTombstones() bool { return z.tombstones != nil }

func (z *Zone) recordTombstones() (Result, []Change) {
	if z.RecordsTombstones() {
		return Result{Reason: "tombstones are recorded already"}, nil
	}
	z.tombstones = tombs.New()
	return Result{Changed: true}, nil
}

// cancelUnknownJob records the cancellation of a job that is not in the state.
func (z *Zone) cancelUnknownJob(c CancelJob) (Result, []Change) {
	result := Result{Reason: "no such job"}
	if !z.RecordsTombstones() {
		return result, nil
	}
	result.Changed = true
	if dropped := z.tombstones.Record(tombs.KeyOf(string(c.Job)), c.At, maxTombstones); dropped > 0 {
		return result, []Change{TombstonesDropped{Count: dropped}}
	}
	return result, nil
}

// cancelIfLate cancels a new job if its cancellation came before. Services are started and ended by the configuration.
func (z *Zone) cancelIfLate(job *Job, at clock.Millis) []Change {
	if !z.RecordsTombstones() || job.Work.Service != nil {
		return nil
	}
	cancelledAt, ok := z.tombstones.Find(tombs.KeyOf(string(job.ID)))
	if !ok {
		return nil
	}
	z.cancelJob(CancelJob{Job: job.ID, Reason: "cancelled before it was submitted", At: at})
	return []Change{LateJobCancelled{Job: job.ID, Age: at - cancelledAt}}
}
