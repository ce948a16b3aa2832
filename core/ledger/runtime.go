package ledger

import (
	"vanillabridge/core/expect"
	"vanillabridge/core/flow"
)

// RunTime is how long a step has taken. It is committed with one of the ends of its tasks, so that all replicas learn
// from it and a new leader need not start anew.
type RunTime struct {
	_ struct{} `cbor:",toarray"`
	// End is the index of the end in the settlement; its task is one of the step.
	End int
	// Code is the run time in the form that expect.Code returns.
	Code uint16
}

// RunTimeKind returns what the run times of a step of a job in a queue are learned for.
func RunTimeKind(j *Job, s flow.Step) expect.Kind {
	return expect.Kind{Queue: j.Queue.Endpoint(), Team: j.Team, Image: s.Image, Gang: s.Gang, Undeclared: s.Estimate <= 0}
}

// RunTimes returns what was learned about the run times of steps; the caller must not change it.
func (s *State) RunTimes() *expect.Book { return s.runTimes }

// observeRunTimes learns from the run times of a settlement. It precedes the settlement's effect on the jobs, and
// ignores the run times of ends that have none: of attempts that are settled, or of jobs that are gone.
func (s *State) observeRunTimes(c Settle) {
	for _, r := range c.RunTimes {
		if r.End < 0 || r.End >= len(c.Ends) {
			continue
		}
		e := c.Ends[r.End]
		j := s.jobs[e.Task.Job]
		if j == nil || e.End != EndDone {
			continue
		}
		if _, ts := j.FindTask(e.Task); ts != nil && ts.Assigned && ts.Attempt == e.Attempt && !ts.Done {
			step := j.Definition.Steps[e.Task.Step]
			s.runTimes.Observe(RunTimeKind(j, step), step.Estimate, expect.Decoded(r.Code))
		}
	}
}

// settleTimed is the encoded form of a Settle with run times.
type settleTimed struct {
	_        struct{} `cbor:",toarray"`
	Settle   Settle
	RunTimes []RunTime
}

func (f settleTimed) command() Command {
	f.Settle.RunTimes = f.RunTimes
	return f.Settle
}
