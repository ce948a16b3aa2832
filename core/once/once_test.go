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

const limit = 5 * clock.Second

// attempt is one submission of the key through an entry instance.
type attempt struct {
	flow    once.Flow
	token   once.Token
	stage   int // 0 propose, 1 await, 2 dispatch, 3 sent, 4 answered, 5 over
	ran     bool
	dead    bool
	outcome proto.Outcome
}

// proposal is a command on its way to the log: it may be lost, late or repeated.
type proposal struct {
	kind   string
	from   *attempt
	answer once.Answer
}

type system struct {
	t        *rapid.T
	now      clock.Millis
	record   once.Record
	attempts []*attempt
	net      []proposal
	runs     int
	first    *once.Answer
	replays  int
	refused  int
}

func (s *system) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(s.t, label) }

func (s *system) submit() {
	n := len(s.attempts) + 1
	s.attempts = append(s.attempts, &attempt{
		flow: once.Flow{Until: s.now + limit}, token: once.Token{Instance: "e", Incarnation: 1, Number: uint64(n)},
	})
}

func (s *system) propose(p proposal) {
	for range make([]struct{}, []int{1, 1, 2, 0}[s.pick("copies", 4)]) {
		s.net = append(s.net, p)
	}
}

// commit applies one proposal to the record; the result reaches a live attempt or is lost.
func (s *system) commit(p proposal) {
	a := p.from
	switch p.kind {
	case "begin":
		var res once.Result
		s.record, res = s.record.Begin(s.now, a.token, limit)
		if a.dead || a.stage != 1 {
			return
		}
		if s.pick("answer lost", 6) == 5 {
			res = nil
		}
		s.begun(a, res)
	case "finish":
		s.record, _ = s.record.Finish(s.now, a.token, p.answer)
	default:
		s.record = s.record.Abort(s.now, a.token)
	}
}

func (s *system) begun(a *attempt, res once.Result) {
	switch act := a.flow.Step(s.now, once.Begun{Result: res}).(type) {
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
		if s.first == nil {
			s.t.Fatalf("an answer although the request did not run")
		}
		if diff := cmp.Diff(*s.first, act.Answer); diff != "" {
			s.t.Fatalf("not the first answer: %s", diff)
		}
	}
}

func (s *system) abort(a *attempt) {
	a.stage, a.outcome = 5, proto.OutcomeNotRun
	s.refused++
	s.propose(proposal{kind: "abort", from: a})
}

// advance takes the next step of an attempt.
func (s *system) advance(a *attempt) {
	switch a.stage {
	case 0:
		a.stage = 1
		s.propose(proposal{kind: "begin", from: a})
	case 2:
		if s.pick("failed before sending", 4) == 3 {
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
		if s.pick("no answer", 4) == 3 {
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
			s.first = &answer
			a.stage, a.outcome = 5, proto.OutcomeDone
			s.propose(proposal{kind: "finish", from: a, answer: act.Answer})
		}
	}
}

func (s *system) step() {
	s.now += clock.Millis([]int{1, 10, 50, 100, 500, 6000}[s.pick("pass", 6)])
	if a := s.attempts[s.pick("attempt", len(s.attempts))]; !a.dead {
		s.advance(a)
	}
	if len(s.net) > 0 && s.pick("commit", 3) < 2 {
		at := s.pick("proposal", len(s.net))
		p := s.net[at]
		s.net = append(s.net[:at], s.net[at+1:]...)
		s.commit(p)
	}
	switch s.pick("what", 40) {
	case 20, 21, 22, 23:
		s.submit()
	case 39:
		s.attempts[s.pick("crash", len(s.attempts))].dead = true // the entry instance crashes here
	}
}

// Guards against a second run of a key over resends through any instance, with commands to
// the log that are lost, late or repeated and a crash at each step; against an answer that
// isn't the first one; and against notrun for a request that ran.
func TestOnce(t *testing.T) {
	runs, replays, refused := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := &system{t: t}
		s.submit()
		for range 200 {
			s.step()
			if s.runs > 1 {
				t.Fatalf("the request ran %d times", s.runs)
			}
		}
		for _, a := range s.attempts {
			if a.outcome == proto.OutcomeNotRun && a.ran {
				t.Fatalf("notrun, but the request ran")
			}
		}
		runs, replays, refused = runs+s.runs, replays+s.replays, refused+s.refused
	})
	t.Logf("%d runs, %d replayed answers, %d not run", runs, replays, refused)
	if runs < 10 || replays < 10 || refused < 10 {
		t.Fatal("the property saw too little")
	}
}

// Guards against an owner that depends on the entry instance, a byte that is sent after the
// deadline, and a record that is kept
// beyond its time or loses its answer.
func TestRecordTimes(t *testing.T) {
	key := once.Key{Caller: "c", Key: "b:1"}
	if got := key.Owner([]model.Zone{"a", "b"}); got != "b" {
		t.Errorf("owner %q, want the prefix of the key", got)
	}
	f := once.Flow{Until: limit}
	f.Step(0, once.Begun{Result: once.Fresh{}})
	if act, sent := f.Step(limit, once.Sending{}).(once.Send); sent {
		t.Errorf("sending at the deadline: %#v", act)
	}
	tok := once.Token{Number: 1}
	r, _ := once.Record{}.Begin(0, tok, limit)
	if got := r.At(limit + once.GraceTime - 1).Phase; got != once.PhaseRunning {
		t.Errorf("phase %d just before the end of the grace time", got)
	}
	if _, ok := r.Finish(limit+once.GraceTime, tok, once.Answer{}); ok {
		t.Errorf("finished after the record became unknown")
	}
	done, _ := r.Finish(1, tok, once.Answer{Body: make([]byte, once.KeepBody+1)})
	if !done.Answer.Cut || done.Answer.Body != nil {
		t.Errorf("a body over the limit is kept")
	}
	if _, res := done.Begin(once.KeepTime, once.Token{Number: 2}, limit); res != (once.Fresh{}) {
		t.Errorf("a record is kept after its time: %T", res)
	}
}
