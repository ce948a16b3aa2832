package once_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
)

const requestTimeout = 5 * clock.Second

// attempt is one submission of the request through an entry instance.
type attempt struct {
	flow    once.RequestFlow
	token   once.Token
	stage   int // 0 to propose begin, 1 awaiting its result, 2 dispatched, 3 sent, 4 answered, 5 ended
	ran     bool
	crashed bool
	outcome proto.Outcome
}

// proposal is a command sent to the log. It may be lost, delayed or duplicated.
type proposal struct {
	kind    string
	attempt *attempt
	answer  once.Answer
}

type system struct {
	t           *rapid.T
	now         clock.Millis
	record      once.Record
	attempts    []*attempt
	inFlight    []proposal
	runs        int
	firstAnswer *once.Answer
	replays     int
	notRun      int
}

func (s *system) drawInt(label string, n int) int { return rapid.IntRange(0, n-1).Draw(s.t, label) }

func (s *system) submit() {
	n := len(s.attempts) + 1
	s.attempts = append(s.attempts, &attempt{
		flow: once.RequestFlow{Deadline: s.now + requestTimeout}, token: once.Token{Instance: "e", Incarnation: 1, Number: uint64(n)},
	})
}

func (s *system) propose(p proposal) {
	for range make([]struct{}, []int{1, 1, 2, 0}[s.drawInt("copies", 4)]) {
		s.inFlight = append(s.inFlight, p)
	}
}

// commit applies one proposal to the record. The result is delivered to the attempt, unless it
// is lost or the attempt's instance has crashed.
func (s *system) commit(p proposal) {
	a := p.attempt
	switch p.kind {
	case "begin":
		var res once.Result
		s.record, res = s.record.Begin(s.now, a.token, requestTimeout)
		if a.crashed || a.stage != 1 {
			return
		}
		if s.drawInt("answer lost", 6) == 5 {
			res = nil
		}
		s.handleBeginResult(a, res)
	case "finish":
		s.record, _ = s.record.Finish(s.now, a.token, p.answer)
	default:
		s.record = s.record.Abort(s.now, a.token)
	}
}

func (s *system) handleBeginResult(a *attempt, res once.Result) {
	switch act := a.flow.Step(s.now, once.BeginResult{Result: res}).(type) {
	case once.Dispatch:
		a.stage = 2
	case once.Abort:
		s.abort(a)
	case once.Reply:
		a.stage, a.outcome = 5, act.Outcome
		if act.Outcome != proto.OutcomeDone {
			return
		}
		s.replays++
		if s.firstAnswer == nil {
			s.t.Fatalf("got a stored answer, but no answer was received from a backend server")
		}
		if diff := cmp.Diff(*s.firstAnswer, act.Answer); diff != "" {
			s.t.Fatalf("stored answer differs from the first answer (-first +stored): %s", diff)
		}
	}
}

func (s *system) abort(a *attempt) {
	a.stage, a.outcome = 5, proto.OutcomeNotRun
	s.notRun++
	s.propose(proposal{kind: "abort", attempt: a})
}

// advance executes the next step of an attempt.
func (s *system) advance(a *attempt) {
	switch a.stage {
	case 0:
		a.stage = 1
		s.propose(proposal{kind: "begin", attempt: a})
	case 2:
		if s.drawInt("failed before sending", 4) == 3 {
			if _, ok := a.flow.Step(s.now, once.Failed{}).(once.Abort); ok {
				s.abort(a)
			}
			return
		}
		if _, ok := a.flow.Step(s.now, once.Sending{}).(once.Send); ok {
			a.stage, a.ran = 3, true
			s.runs++
		}
	case 3:
		if s.drawInt("no answer", 4) == 3 {
			a.stage, a.outcome = 5, proto.OutcomeUnknown
			if _, ok := a.flow.Step(s.now, once.Failed{}).(once.Abort); ok {
				s.abort(a)
			}
			return
		}
		a.stage = 4
	case 4:
		answer := once.Answer{Status: 200 + s.runs, Body: []byte{byte(len(s.attempts))}}
		if act, ok := a.flow.Step(s.now, once.Answered{Answer: answer}).(once.Finish); ok {
			s.firstAnswer = &answer
			a.stage, a.outcome = 5, proto.OutcomeDone
			s.propose(proposal{kind: "finish", attempt: a, answer: act.Answer})
		}
	}
}

func (s *system) step() {
	s.now += clock.Millis([]int{1, 10, 50, 100, 500, 6000}[s.drawInt("pass", 6)])
	if a := s.attempts[s.drawInt("attempt", len(s.attempts))]; !a.crashed {
		s.advance(a)
	}
	if len(s.inFlight) > 0 && s.drawInt("commit", 3) < 2 {
		at := s.drawInt("proposal", len(s.inFlight))
		p := s.inFlight[at]
		s.inFlight = append(s.inFlight[:at], s.inFlight[at+1:]...)
		s.commit(p)
	}
	switch s.drawInt("what", 40) {
	case 20, 21, 22, 23:
		s.submit()
	case 39:
		s.attempts[s.drawInt("crash", len(s.attempts))].crashed = true // the entry instance crashes here
	}
}

// Guards against a second run of a request that is resent through any instance, while commands
// to the log are lost, delayed or duplicated and instances crash at any step; against a resend
// that gets another answer than the first one; and against outcome notrun for a request that ran.
func TestRequestRunsAtMostOnce(t *testing.T) {
	runs, replays, notRun := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := &system{t: t}
		s.submit()
		for range 200 {
			s.step()
			if s.runs > 1 {
				t.Fatalf("the request ran %d times, want at most once", s.runs)
			}
		}
		for _, a := range s.attempts {
			if a.outcome == proto.OutcomeNotRun && a.ran {
				t.Fatalf("outcome is notrun, but the request ran")
			}
		}
		runs, replays, notRun = runs+s.runs, replays+s.replays, notRun+s.notRun
	})
	t.Logf("%d runs, %d replayed answers, %d not run", runs, replays, notRun)
	if runs < 10 || replays < 10 || notRun < 10 {
		t.Fatal("too few runs, replays or refusals to cover the property, want at least 10 of each")
	}
}

// Guards against an owner zone that depends on the entry instance, a request that is sent after
// its deadline, a record that outlives its retention or grace period, and a stored body that
// exceeds the limit.
func TestRecordTimes(t *testing.T) {
	key := once.Key{Caller: "c", Key: "b:1"}
	if got := key.OwnerZone([]model.Zone{"a", "b"}); got != "b" {
		t.Errorf("owner zone %q, want b, the prefix of the key", got)
	}
	f := once.RequestFlow{Deadline: requestTimeout}
	f.Step(0, once.BeginResult{Result: once.Fresh{}})
	if act, sent := f.Step(requestTimeout, once.Sending{}).(once.Send); sent {
		t.Errorf("request was sent at its deadline: %#v", act)
	}
	tok := once.Token{Number: 1}
	r, _ := once.Record{}.Begin(0, tok, requestTimeout)
	if got := r.AsOf(requestTimeout + once.GracePeriod - 1).Phase; got != once.PhaseRunning {
		t.Errorf("phase %d just before the end of the grace period, want running", got)
	}
	if _, ok := r.Finish(requestTimeout+once.GracePeriod, tok, once.Answer{}); ok {
		t.Errorf("record was finished after it became unknown")
	}
	done, _ := r.Finish(1, tok, once.Answer{Body: make([]byte, once.MaxStoredBodyBytes+1)})
	if !done.Answer.BodyOmitted || done.Answer.Body != nil {
		t.Errorf("a body larger than the limit was stored")
	}
	if _, res := done.Begin(once.RecordRetention, once.Token{Number: 2}, requestTimeout); res != (once.Fresh{}) {
		t.Errorf("result %T after the retention period, want Fresh", res)
	}
}
