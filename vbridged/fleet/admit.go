package fleet

import (
	"context"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// reasonBeyondShare is the reason of the refusal of a job beyond its team's share.
const reasonBeyondShare = "beyond share"

const (
	// maxSubmissions is the number of submissions with an unknown outcome from which on old ones are forgotten, and
	// submissionMemory how long they are kept at least: an entry in the log of a leader is committed long before.
	maxSubmissions   = 4096
	submissionMemory = clock.Minute
)

// submissions holds when the submissions on their way to the log were last seen, by job. One that failed stays: its
// entry may still be committed.
type submissions map[model.JobID]clock.Millis

func (s submissions) begin(now clock.Millis, id model.JobID) {
	s[id] = now
	if len(s) <= maxSubmissions {
		return
	}
	for other, at := range s {
		if now-at > submissionMemory {
			delete(s, other)
		}
	}
}

// commitAdmitted commits a change unless it is the submission of a job that the leader refuses.
func (d *Domain) commitAdmitted(ctx context.Context, from model.Instance, r Request, key flow.KeyHash) (Reply, error) {
	if r.Kind != KindSubmit {
		return d.commit(ctx, from, r, key)
	}
	id, refusal, refused := d.admit(r)
	if refused {
		return refusal, nil
	}
	reply, err := d.commit(ctx, from, r, key)
	if err == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		if s := d.session; s != nil {
			delete(s.submissions, id)
		}
	}
	return reply, err
}

// admit decides whether a submission may go to the log, and records it if so. A job that is known, or whose submission
// is on its way, is never refused, so that a refused job isn't accepted; nor is one that was cancelled, which needs no
// share. Only a leader under a valid lease knows that, before and after it looks.
func (d *Domain) admit(r Request) (id model.JobID, refusal Reply, refused bool) {
	_, valid := d.validLeaseTerm()
	id, refusal, refused = d.decideSubmission(r, valid)
	if !refused {
		return id, Reply{}, false
	}
	if _, valid = d.validLeaseTerm(); !valid {
		id, _, _ = d.decideSubmission(r, false)
		return id, Reply{}, false
	}
	d.metrics.teams.refused.WithLabelValues(reasonBeyondShare).Inc()
	return id, refusal, true
}

func (d *Domain) decideSubmission(r Request, mayRefuse bool) (id model.JobID, refusal Reply, refused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, id, team, outcome := d.state.Resolve(r.Host, r.Path, r.Key)
	s := d.session
	if s == nil || outcome != ledger.OutcomeDone {
		return id, Reply{}, false
	}
	_, submitted := s.submissions[id]
	_, cancelled := d.state.CancelledBefore(ledger.Submit{Host: r.Host, Path: r.Path, Key: r.Key})
	if mayRefuse && !submitted && !cancelled && d.state.Job(id) == nil {
		if refusal, ok := s.planner.Admit(d.now(), team, id); !ok {
			version := d.state.Config().Version
			if logged, skipped := d.refusals.admit(d.now()); logged {
				klog.InfoS("job refused", "request", r.ID, "queue", q.Name, "job", id, "reason", reasonBeyondShare, "cause", refusal.Cause,
					"age", 0, "retryAfter", int64(refusal.RetryAfter), "term", s.term, "version", version, "skipped", skipped)
			}
			return id, Reply{Status: StatusRefused, RetryAfter: refusal.RetryAfter, Reason: reasonBeyondShare, Version: version, Term: s.term}, true
		}
	}
	if s.submissions == nil {
		s.submissions = submissions{}
	}
	s.submissions.begin(d.now(), id)
	return id, Reply{}, false
}

// settleRefusal returns the reply of the leader to a front that may have sent the request before: what was refused now
// may have been accepted then, before a configuration without its queue or key, or with less room. Only an answer that the
// log decides for both attempts stays: done, or no such job.
func settleRefusal(reply Reply, noEffect bool) Reply {
	if noEffect || reply.Status == StatusDone || reply.Status == StatusNoJob {
		return reply
	}
	reason := "after an attempt whose outcome is unknown: " + string(reply.Status)
	return Reply{Status: StatusUnknown, Reason: reason, Version: reply.Version, Term: reply.Term}
}
