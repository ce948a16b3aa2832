package entry

import (
	"context"
	"net/http"

	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
)

// begin makes the record of a non-idempotent request before its first attempt. It reports
// true when the caller has been answered.
func (e *Entry) begin(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, l *lease) bool {
	if c.idempotent || c.flow != nil {
		return false
	}
	c.drawKey(e.set.Zone)
	now := e.ports.Clock.Now()
	res, err := e.ports.Records.Begin(ctx, c.owner(), Begin{Key: c.key, Token: c.token, Limit: c.until - now})
	if err != nil {
		e.release(c, l, ending{quit: true})
		e.refuse(w, c, c.problem(http.StatusServiceUnavailable, "no record", err))
		return true
	}
	flow := &once.Flow{Until: c.until}
	switch act := flow.Step(e.ports.Clock.Now(), once.Begun{Result: res}).(type) {
	case once.Dispatch:
		c.flow, c.began = flow, true
		return false
	case once.Abort:
		c.began = true
		e.release(c, l, ending{quit: true})
		e.abort(c)
		e.refuse(w, c, c.problem(http.StatusServiceUnavailable, "deadline passed before dispatch", nil))
	case once.Reply:
		e.release(c, l, ending{quit: true})
		e.replay(w, r, c, act)
	}
	return true
}

// replay answers from the record of an earlier request with the key.
func (e *Entry) replay(w http.ResponseWriter, r *http.Request, c *call, act once.Reply) {
	switch act.Outcome {
	case proto.OutcomeDone:
		e.replayDone(w, r, c, act.Answer)
	case proto.OutcomeRunning:
		e.answerProblem(w, c, &refusal{
			status: http.StatusConflict, text: "a request with this key is in progress", cause: "running", after: refusalPause,
		}, act.Outcome)
	default:
		e.answerProblem(w, c, &refusal{
			status: http.StatusBadGateway, text: "a request with this key may have run", cause: "unknown",
		}, proto.OutcomeUnknown)
	}
}

func (e *Entry) replayDone(w http.ResponseWriter, r *http.Request, c *call, a once.Answer) {
	if a.Digest != c.digest(r) {
		e.answerProblem(w, c, &refusal{
			status: http.StatusUnprocessableEntity, text: "the key belongs to another request", cause: "key",
		}, proto.OutcomeUnknown)
		return
	}
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	if a.Cut {
		delete(h, "Content-Length")
	}
	c.mark(h, proto.OutcomeDone)
	c.status, c.outcome, c.cause = a.Status, proto.OutcomeDone, "resend"
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// finish records the answer. When it fails, the record becomes unknown after its deadline;
// the answer is given to the caller all the same, because it is the true one.
func (e *Entry) finish(c *call, a once.Answer) {
	act, ok := c.flow.Step(e.ports.Clock.Now(), once.Answered{Answer: a}).(once.Finish)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), RecordTime.Std())
	defer cancel()
	if err := e.ports.Records.Finish(ctx, c.owner(), c.key, c.token, act.Answer); err != nil {
		c.cause = "answer not recorded: " + err.Error()
	}
}

// abort removes the record. When it fails, a resend gets running and later unknown, which
// is safe.
func (e *Entry) abort(c *call) {
	ctx, cancel := context.WithTimeout(context.Background(), RecordTime.Std())
	defer cancel()
	if err := e.ports.Records.Abort(ctx, c.owner(), c.key, c.token); err != nil {
		c.cause = "record not removed: " + err.Error()
	}
}

func (c *call) owner() model.Zone { return c.key.Owner(c.zones) }
