package state

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// maxRecords bounds the memory of a zone's records. Forgetting one early would allow a second
// run, so a full table refuses new requests instead.
const maxRecords = 1 << 20

// recordDropped marks a record of which no byte was sent; it stays in the list of records
// until that is next compacted.
const recordDropped RecordPhase = "dropped"

func (z *Zone) openRecord(c OpenRecord) Result {
	r, ok := z.records[c.Key]
	if !ok {
		return z.newRecord(c)
	}
	if r.Digest != c.Digest {
		return Result{Record: RecordMisused, Reason: "the key was used for another request"}
	}
	// A proposal that was retried after a lost answer finds its own record: it has not been
	// dispatched, because dispatch waits for this result.
	if r.Request == c.Request && r.Phase == RecordRunning {
		return Result{Record: RecordFresh}
	}
	return Result{Record: r.Phase, Answer: r.Answer}
}

func (z *Zone) newRecord(c OpenRecord) Result {
	if len(z.records) >= maxRecords {
		return Result{Record: RecordFull, Reason: "the table of requests is full"}
	}
	r := &Record{
		Key:      c.Key,
		Request:  c.Request,
		Digest:   c.Digest,
		Phase:    RecordRunning,
		Deadline: c.Deadline,
		At:       c.At,
	}
	z.records[c.Key] = r
	z.open[c.Key] = r
	z.data.Records = append(z.data.Records, r)
	return Result{Changed: true, Record: RecordFresh}
}

func (z *Zone) closeRecord(c CloseRecord) Result {
	r, ok := z.records[c.Key]
	if !ok || r.Request != c.Request || r.Phase == RecordDone {
		return Result{Reason: "no open record of this request"}
	}
	r.Phase = RecordDone
	answer := c.Answer
	r.Answer = &answer
	delete(z.open, c.Key)
	return Result{Changed: true, Record: RecordDone}
}

// dropRecord forgets a request that surely did not run. A record that has become unknown
// stays: its caller may have been told so.
func (z *Zone) dropRecord(c DropRecord) Result {
	r, ok := z.records[c.Key]
	if !ok || r.Request != c.Request || r.Phase != RecordRunning {
		return Result{Reason: "no open record of this request"}
	}
	r.Phase = recordDropped
	delete(z.records, c.Key)
	delete(z.open, c.Key)
	return Result{Changed: true}
}

// expire marks overdue records as unknown, so that a caller who asks again hears it, and
// forgets what is older than its retention.
func (z *Zone) expire(c Expire) Result {
	changed := z.expireRecords(c.At)
	keep := make(map[model.JobID]bool, len(c.Keep))
	for _, id := range c.Keep {
		keep[id] = true
	}
	for id, job := range z.data.Jobs {
		if !keep[id] && job.Work.Service == nil && job.Open == 0 && job.Ended+jobAge < c.At {
			delete(z.data.Jobs, id)
			changed = true
		}
	}
	return Result{Changed: changed}
}

func (z *Zone) expireRecords(at clock.Millis) bool {
	changed := false
	for key, r := range z.open {
		if r.Deadline+recordGrace < at {
			r.Phase = RecordUnknown
			delete(z.open, key)
			changed = true
		}
	}
	for len(z.data.Records) > 0 && z.data.Records[0].At+recordAge < at {
		r := z.data.Records[0]
		if z.records[r.Key] == r {
			delete(z.records, r.Key)
			delete(z.open, r.Key)
		}
		z.data.Records[0] = nil
		z.data.Records = z.data.Records[1:]
		changed = true
	}
	return changed
}

// compactRecords leaves dropped records out of the list.
func (z *Zone) compactRecords() {
	kept := make([]*Record, 0, len(z.records))
	for _, r := range z.data.Records {
		if r.Phase != recordDropped {
			kept = append(kept, r)
		}
	}
	z.data.Records = kept
}
