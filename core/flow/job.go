package flow

import (
	"strconv"
	"strings"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// Job is a submitted piece of work: steps of equal tasks in an order.
type Job struct {
	_    struct{} `cbor:",toarray"`
	ID   model.JobID
	Spec string
	// Steps run in the order that their After fields give.
	Steps []Step
	// Times is the number of occurrences; 0 means one that is due at once.
	Times  int
	First  clock.Millis // when occurrence 0 is due, since 1970
	Period clock.Millis // between two occurrences
}

// Step is a set of tasks that differ only by index.
type Step struct {
	_        struct{} `cbor:",toarray"`
	Count    int
	Need     model.Size // of one task
	Estimate clock.Millis
	// After lists the steps whose tasks must all be done before this one starts.
	After []int
	// Gang says that the tasks work only while all of them are present.
	Gang bool
	// OneRack says that the tasks are slow when they run on more than one rack.
	OneRack bool
	// Label is one that the worker must have; empty means any worker.
	Label string
	// Near is the rack of the data; elsewhere the tasks are slow.
	Near model.Rack
	// Spread bounds the tasks of the step on one worker; 0 means no bound.
	Spread int
	// Saves says that tasks write checkpoints.
	Saves bool
	// Copies says that two runs of a task may overlap; the first end counts.
	Copies bool
	// Lasting tasks run until the job is cancelled and are started again however they end.
	Lasting bool
	// MayMiss is how many lasting tasks may be missing through actions of the scheduler.
	MayMiss int
	// Image names what runs; tasks of one image behave alike.
	Image string
	// Tail is the bound on the response times of a lasting task.
	Tail clock.Millis
	// Fills says that the processor need is not charged: the tasks use what others leave.
	Fills bool
}

// Charge returns what a task of the step takes of a worker's capacity.
func (s Step) Charge() model.Size {
	if s.Fills {
		return model.Size{Memory: s.Need.Memory, Accel: s.Need.Accel}
	}
	return s.Need
}

// Runs returns how often the steps run.
func (j Job) Runs() int { return max(j.Times, 1) }

// Due returns when an occurrence may start, or 0 for a job without due times.
func (j Job) Due(run int) clock.Millis {
	if j.Times == 0 {
		return 0
	}
	return j.First + clock.Millis(run)*j.Period
}

// IsLasting reports whether a step of the job lasts until it is cancelled.
func (j Job) IsLasting() bool {
	for _, s := range j.Steps {
		if s.Lasting {
			return true
		}
	}
	return false
}

// Limits of one job. They bound what a single caller can make a leader hold.
const (
	maxSpec  = 4000 // bytes
	maxSteps = 256
	maxTasks = 20_000 // of one occurrence
	maxTimes = 10_000
)

// Check says why a job can't be accepted, or returns nil.
func (j Job) Check() error {
	if len(j.Spec) > maxSpec {
		return fault.Wrap(fault.ErrInvalid, "spec of %d bytes exceeds %d", len(j.Spec), maxSpec)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fault.Wrap(fault.ErrInvalid, "%d steps: need 1 to %d", len(j.Steps), maxSteps)
	}
	if j.Times < 0 || j.Times > maxTimes || (j.Times > 1 && j.Period <= 0) {
		return fault.Wrap(fault.ErrInvalid, "%d occurrences every %s", j.Times, j.Period)
	}
	total := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
		total += s.Count
	}
	if total > maxTasks {
		return fault.Wrap(fault.ErrInvalid, "%d tasks exceed %d", total, maxTasks)
	}
	return nil
}

func (s Step) check(at int) error {
	if s.Count < 1 || s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.Accel < 0 || s.Spread < 0 || s.MayMiss < 0 {
		return fault.Wrap(fault.ErrInvalid, "step %d: %d tasks of %s", at, s.Count, s.Need)
	}
	for _, a := range s.After {
		if a < 0 || a >= at {
			return fault.Wrap(fault.ErrInvalid, "step %d comes after step %d, which is not an earlier one", at, a)
		}
	}
	return nil
}

// Task names one task of one occurrence of a job.
type Task struct {
	_     struct{} `cbor:",toarray"`
	Job   model.JobID
	Run   int // the occurrence, from 0
	Step  int
	Index int
}

// String prints the name as "JOB.RUN.STEP.INDEX".
func (t Task) String() string {
	return t.Phase() + "." + strconv.Itoa(t.Index)
}

// Phase prints the name of the step as "JOB.RUN.STEP".
func (t Task) Phase() string {
	return string(t.Job) + "." + strconv.Itoa(t.Run) + "." + strconv.Itoa(t.Step)
}

// ParseTask reads the form that String prints.
func ParseTask(s string) (Task, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return Task{}, fault.Wrap(fault.ErrInvalid, "task name %q has not four parts", s)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return Task{}, fault.Wrap(fault.ErrInvalid, "task name %q: part %q", s, p)
		}
		n[i] = v
	}
	return Task{Job: model.JobID(parts[0]), Run: n[0], Step: n[1], Index: n[2]}, nil
}
