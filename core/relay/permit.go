package relay

import "vanillabridge/core/clock"

// maxDriftPercent is by how many percent the clocks of a relay and of the leader may differ in speed.
const maxDriftPercent = 2

// Permit is a relay's permission to call workers for a leader, on the relay's clock. It ends before the leader's own
// lease does. The zero value permits nothing.
type Permit struct {
	term  uint64
	until clock.Millis
}

// Extend returns the permission after the leader of a term has said how long its lease still runs, in reply to a call
// that the relay made at askedAt. A reply of a lower term changes nothing.
func (p Permit) Extend(term uint64, askedAt, remaining clock.Millis) Permit {
	until := askedAt + remaining*(100-maxDriftPercent)/100
	switch {
	case term < p.term:
		return p
	case term > p.term:
		return Permit{term: term, until: until}
	}
	p.until = max(p.until, until)
	return p
}

// Allows reports whether calls of a term may be made now.
func (p Permit) Allows(term uint64, now clock.Millis) bool { return term == p.term && now < p.until }

// Term returns the highest term that has given a permission.
func (p Permit) Term() uint64 { return p.term }

// Until returns when the permission ends.
func (p Permit) Until() clock.Millis { return p.until }

// MaxBatchAge is how old the newest call of a relay that the leader had heard of when it sent a batch may be when the
// relay reads the batch: a relay that was frozen reads old batches from its socket after it wakes.
const MaxBatchAge = clock.Second

// IsStale reports whether a batch is too old to be carried out. Echo is the relay's clock in the newest call that the
// leader had heard when it sent the batch.
func IsStale(now, echo clock.Millis) bool { return now-echo > MaxBatchAge }
