package plan

import (
	"fmt"
	"hash/fnv"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

const (
	// refuseWhenFull is how long the workers must be full for jobs to be refused.
	refuseWhenFull = clock.Second
	// maxBeyondBacklog is the time whose jobs, at a team's rate, may wait beyond its share; further ones are refused.
	maxBeyondBacklog = 2 * clock.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused job is worth another attempt.
	minRetryAfter = clock.Second
	maxRetryAfter = 10 * clock.Second
	// retrySpread is the inverse of the share by which that time differs between jobs, so that they don't come back
	// at once.
	retrySpread = 2
)

// Refusal is the answer to the submission of a job that is not accepted.
type Refusal struct {
	// RetryAfter is the time after which another attempt is worthwhile.
	RetryAfter clock.Millis
	// Cause names the inputs of the decision.
	Cause string
}

// countBeyond counts a waiting step of a job beyond the team's share, in the pass that follows the given one.
func (t *team) countBeyond(pass uint64) {
	if t.beyondAfterPass != pass {
		t.beyond, t.beyondAfterPass = 0, pass
	}
	t.beyond++
}

// waitingBeyond returns how many steps of jobs beyond the team's share waited at the start of the last pass.
func (t *team) waitingBeyond(lastPass uint64) int {
	if t.beyondAfterPass+1 != lastPass {
		return 0
	}
	return t.beyond
}

// Admit decides whether a team's job may be submitted now. It refuses a job beyond the share of a team of which as many
// steps of such jobs wait already as it may submit jobs in maxBeyondBacklog, while the workers are full. It changes nothing, and
// doesn't know jobs that are being submitted: the caller asks only about jobs that are neither known nor on their way to
// the log.
func (p *Planner) Admit(now clock.Millis, team string, id model.JobID) (Refusal, bool) {
	t := p.teams[team]
	if t == nil || t.Weight <= 0 || !p.isFull(now, refuseWhenFull) || !t.meter.IsBeyond(now+p.cfg.UnixOffset) {
		return Refusal{}, true
	}
	limit := max(1, t.Weight*maxBeyondBacklog.Duration().Seconds())
	waiting := t.waitingBeyond(p.passNumber)
	if float64(waiting) < limit {
		return Refusal{}, true
	}
	backlog := clock.Millis(1000 * float64(waiting) / t.Weight)
	after := min(max(backlog, minRetryAfter), maxRetryAfter)
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	after += after / retrySpread * clock.Millis(h.Sum32()%1024) / 1024
	return Refusal{
		RetryAfter: after,
		Cause: fmt.Sprintf("team %s is beyond %g jobs a second, %d steps beyond them wait; workers full for %s",
			t.Name, t.Weight, waiting, p.fullFor(now)),
	}, false
}
