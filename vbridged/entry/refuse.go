package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"vanillabridge/core/clock"
	"vanillabridge/core/proto"
)

// refusal is an error response of the entry instance itself.
type refusal struct {
	status     int
	text       string
	cause      string       // recorded reason; if empty, text is recorded
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

func (e *Entry) refuse(w http.ResponseWriter, c *call, refused *refusal) {
	e.writeRefusal(w, c, refused, c.failureOutcome())
}

func (e *Entry) writeRefusal(w http.ResponseWriter, c *call, refused *refusal, o proto.Outcome) {
	c.status, c.outcome, c.cause = refused.status, o, refused.cause
	if c.cause == "" {
		c.cause = refused.text
	}
	h := w.Header()
	h[proto.HeaderRequest] = []string{c.id}
	if refused.retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatInt(int64((refused.retryAfter+clock.Second-1)/clock.Second), 10)}
	}
	writeErrorReply(w, refused.status, proto.ErrorReply{Error: refused.text, Outcome: o})
}

func writeErrorReply(w http.ResponseWriter, status int, reply proto.ErrorReply) {
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	if reply.Outcome == "" {
		reply.Outcome = proto.OutcomeNotRun
	}
	h[proto.HeaderOutcome] = []string{string(reply.Outcome)}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}
