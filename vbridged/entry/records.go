package entry

import (
	"context"
	"net/http"

	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
)

// beginRecord opens the record of a non-idempotent request before its first attempt. It reports
// true if it has answered the caller, and no attempt must follow.
func (e *Entry) beginRecord(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, p *attemptPermit) bool {
	if c.idempotent || c.onceFlow != nil {
		return false
	}
	c.ensureKey(e.settings.Zone)
	now := e.ports.Clock.Now()
	res, err := e.ports.Records.Begin(ctx, c.ownerZone(), BeginRequest{Key: c.key, Token: c.token, TimeLeft: c.deadline - now})
	if err != nil {
		e.endAttempt(c, p, attemptResult{cancelled: true})
		e.refuse(w, c, c.newRefusal(http.StatusServiceUnavailable, "open idempotency record", err))
		return true
	}
	flow := &once.RequestFlow{Deadline: c.deadline}
	switch act := flow.Step(e.ports.Clock.Now(), once.BeginResult{Result: res}).(type) {
	case once.Dispatch:
		c.onceFlow, c.recordKnown = flow, true
		return false
	case once.Abort:
		c.recordKnown = true
		e.endAttempt(c, p, attemptResult{cancelled: true})
		e.abortRecord(c)
		e.refuse(w, c, c.newRefusal(http.StatusServiceUnavailable, "deadline passed before the request was sent", nil))
	case once.Reply:
		e.endAttempt(c, p, attemptResult{cancelled: true})
		e.replayRecord(w, r, c, act)
	}
	return true
}

// replayRecord answers from the record of an earlier request with the same key.
func (e *Entry) replayRecord(w http.ResponseWriter, r *http.Request, c *call, act once.Reply) {
	switch act.Outcome {
	case proto.OutcomeDone:
		e.replayAnswer(w, r, c, act.Answer)
	case proto.OutcomeRunning:
		e.writeRefusal(w, c, &refusal{
			status: http.StatusConflict, text: "a request with this key is in progress", cause: "running", retryAfter: defaultRetryAfter,
		}, act.Outcome)
	default:
		e.writeRefusal(w, c, &refusal{
			status: http.StatusBadGateway, text: "a request with this key may have run", cause: "unknown",
		}, proto.OutcomeUnknown)
	}
}

func (e *Entry) replayAnswer(w http.ResponseWriter, r *http.Request, c *call, a once.Answer) {
	if a.Digest != c.digest(r) {
		e.writeRefusal(w, c, &refusal{
			status: http.StatusUnprocessableEntity, text: "the key was used for a different request", cause: "key",
		}, proto.OutcomeUnknown)
		return
	}
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	if a.BodyOmitted {
		delete(h, "Content-Length")
	}
	c.setResultHeaders(h, proto.OutcomeDone)
	c.status, c.outcome, c.cause = a.Status, proto.OutcomeDone, "resend"
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// finishRecord records the response. If that fails, the record becomes unknown after its
// deadline; the caller still gets the response, because it is the right one.
func (e *Entry) finishRecord(c *call, a once.Answer) {
	act, ok := c.onceFlow.Step(e.ports.Clock.Now(), once.Answered{Answer: a}).(once.Finish)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), RecordTimeout.Duration())
	defer cancel()
	if err := e.ports.Records.Finish(ctx, c.ownerZone(), c.key, c.token, act.Answer); err != nil {
		c.cause = "response not recorded: " + err.Error()
	}
}

// abortRecord removes the record. If that fails, a resend gets the outcome running and later
// unknown, which is safe because neither runs the request again.
func (e *Entry) abortRecord(c *call) {
	ctx, cancel := context.WithTimeout(context.Background(), RecordTimeout.Duration())
	defer cancel()
	if err := e.ports.Records.Abort(ctx, c.ownerZone(), c.key, c.token); err != nil {
		c.cause = "record not removed: " + err.Error()
	}
}

func (c *call) ownerZone() model.Zone { return c.key.OwnerZone(c.zones) }
