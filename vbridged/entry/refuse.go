package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"vanillabridge/core/clock"
	"vanillabridge/core/proto"
)

// refusal is a problem response of the entry instance itself.
type refusal struct {
	status     int
	text       string
	cause      string
	retryAfter clock.Millis // value of the Retry-After header; 0 sends none
}

// failureOutcome returns the outcome of a request that gets no response of a backend server.
// An earlier request with the same caller-chosen key may have run, so the outcome is unknown
// until the record has been read.
func (c *call) failureOutcome() proto.Outcome {
	switch {
	case c.maybeSent:
		return proto.OutcomeUnknown
	case c.hasCallerKey && !c.recordKnown:
		return proto.OutcomeUnknown
	default:
		return proto.OutcomeNotRun
	}
}

func (e *Entry) refuse(w http.ResponseWriter, c *call, f *refusal) {
	e.writeRefusal(w, c, f, c.failureOutcome())
}

func (e *Entry) writeRefusal(w http.ResponseWriter, c *call, f *refusal, o proto.Outcome) {
	c.status, c.outcome, c.cause = f.status, o, f.cause
	if c.cause == "" {
		c.cause = f.text
	}
	h := w.Header()
	h[proto.HeaderRequest] = []string{c.id}
	if f.retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatInt(int64((f.retryAfter+clock.Second-1)/clock.Second), 10)}
	}
	writeProblem(w, f.status, proto.ErrorReply{Error: f.text, Outcome: o})
}

func writeProblem(w http.ResponseWriter, status int, p proto.ErrorReply) {
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	if p.Outcome == "" {
		p.Outcome = proto.OutcomeNotRun
	}
	h[proto.HeaderOutcome] = []string{string(p.Outcome)}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}
