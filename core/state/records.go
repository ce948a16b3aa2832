package state

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
)

// maxRecords bounds the memory used by the request records of a zone. Evicting a record before
// its retention period ends would allow a second run, so a full table refuses new requests.
const maxRecords = 1 << 20

// recordEntry is an element of the list of records, which is ordered by start time.
type recordEntry struct {
	Key    once.Key    `cbor:"1,keyasint"`
	Record once.Record `cbor:"2,keyasint"`
}

func (z *Zone) openRecord(c OpenRecord) Result {
	e, ok := z.recordsByKey[c.Key]
	if !ok || e.Record.AsOf(c.At).Phase == 0 {
		if len(z.recordsByKey) >= maxRecords {
			return Result{Record: RecordFull, Reason: "the table of requests is full"}
		}
		e = &recordEntry{Key: c.Key}
		z.recordsByKey[c.Key] = e
		z.data.Records = append(z.data.Records, e)
	}
	record, result := e.Record.Begin(c.At, c.Token, c.TimeLeft)
	e.Record = record
	switch result := result.(type) {
	case once.Fresh:
		return Result{Changed: true, Record: RecordFresh}
	case once.Done:
		return Result{Record: RecordDone, Answer: &result.Answer}
	case once.Running:
		return Result{Record: RecordRunning}
	default:
		return Result{Record: RecordUnknown}
	}
}

func (z *Zone) closeRecord(c CloseRecord) Result {
	e, ok := z.recordsByKey[c.Key]
	if !ok {
		return Result{Reason: "no record of this request"}
	}
	record, done := e.Record.Finish(c.At, c.Token, c.Answer)
	if !done {
		return Result{Reason: "no open record of this request"}
	}
	e.Record = record
	return Result{Changed: true, Record: RecordDone}
}

// dropRecord deletes the record of a request that did not run. A record that has become
// unknown is kept, because the caller may already have been told that the outcome is unknown.
func (z *Zone) dropRecord(c DropRecord) Result {
	e, ok := z.recordsByKey[c.Key]
	if !ok {
		return Result{Reason: "no record of this request"}
	}
	e.Record = e.Record.Abort(c.At, c.Token)
	if e.Record.Phase != 0 {
		return Result{Reason: "no open record of this request"}
	}
	delete(z.recordsByKey, c.Key)
	return Result{Changed: true}
}

// expire deletes records and ended jobs that are older than their retention period.
func (z *Zone) expire(c Expire) Result {
	changed := z.expireRecords(c.At)
	keep := make(map[model.JobID]bool, len(c.KeepJobs))
	for _, id := range c.KeepJobs {
		keep[id] = true
	}
	for id, job := range z.data.Jobs {
		if !keep[id] && job.Work.Service == nil && job.OpenTasks == 0 && job.EndedAt+endedJobRetention < c.At {
			delete(z.data.Jobs, id)
			changed = true
		}
	}
	if z.RecordsTombstones() {
		before := z.tombstones.Len()
		z.tombstones.Prune(c.At - endedJobRetention)
		changed = changed || z.tombstones.Len() < before
	}
	return Result{Changed: changed}
}

func (z *Zone) expireRecords(at clock.Millis) bool {
	changed := false
	for len(z.data.Records) > 0 {
		e := z.data.Records[0]
		current := z.recordsByKey[e.Key] == e
		if current && e.Record.AsOf(at).Phase != 0 {
			break
		}
		if current {
			delete(z.recordsByKey, e.Key)
			changed = true // not set for unindexed entries: their number depends on when a snapshot was taken
		}
		z.data.Records[0] = nil
		z.data.Records = z.data.Records[1:]
	}
	return changed
}

// compactRecords removes list entries that are no longer in the index.
func (z *Zone) compactRecords() {
	kept := make([]*recordEntry, 0, len(z.recordsByKey))
	for _, e := range z.data.Records {
		if z.recordsByKey[e.Key] == e {
			kept = append(kept, e)
		}
	}
	z.data.Records = kept
}
