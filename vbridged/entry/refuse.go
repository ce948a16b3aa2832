package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"vanillabridge/core/clock"
	"vanillabridge/core/proto"
)

// refusal is an answer of the entry instance itself.
type refusal struct {
	status int
	text   string
	cause  string
	after  clock.Millis // hint when to try again
}

// outcomeNow returns what is known of a request that gets no answer of a backend server.
// Under a key that the caller chose an earlier request may have run, so as long as the
// record was not read the outcome is unknown.
func (c *call) outcomeNow() proto.Outcome {
	switch {
	case c.touched:
		return proto.OutcomeUnknown
	case c.named && !c.began:
		return proto.OutcomeUnknown
	default:
		return proto.OutcomeNotRun
	}
}

func (e *Entry) refuse(w http.ResponseWriter, c *call, f *refusal) {
	e.answerProblem(w, c, f, c.outcomeNow())
}

func (e *Entry) answerProblem(w http.ResponseWriter, c *call, f *refusal, o proto.Outcome) {
	c.status, c.outcome, c.cause = f.status, o, f.cause
	if c.cause == "" {
		c.cause = f.text
	}
	h := w.Header()
	h[proto.HeaderRequest] = []string{c.id}
	if f.after > 0 {
		h["Retry-After"] = []string{strconv.FormatInt(int64((f.after+clock.Second-1)/clock.Second), 10)}
	}
	writeProblem(w, f.status, proto.Problem{Error: f.text, Outcome: o})
}

func writeProblem(w http.ResponseWriter, status int, p proto.Problem) {
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	if p.Outcome == "" {
		p.Outcome = proto.OutcomeNotRun
	}
	h[proto.HeaderOutcome] = []string{string(p.Outcome)}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}
