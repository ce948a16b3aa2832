package flow

import (
	"strconv"
	"strings"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// Job is a submitted job: a graph of steps, each of which is a set of equal tasks.
type Job struct {
	_  struct{} `cbor:",toarray"`
	ID model.JobID
	// Spec describes the tasks to the workers; the scheduler passes it on unchanged.
	Spec string
	// Steps are the steps of each occurrence. Their After fields define the order in which they run.
	Steps []Step
	// Occurrences is the number of occurrences; 0 means a single one without due time, which may start
	// at once.
	Occurrences int
	FirstDue    clock.Millis // when occurrence 0 is due, since 1970
	Period      clock.Millis // between two occurrences
}

// Step is a set of tasks that differ only in their index.
type Step struct {
	_        struct{} `cbor:",toarray"`
	Count    int
	Need     model.Size   // of one task
	Estimate clock.Millis // expected duration of a task
	// After lists the indexes of the steps that must be done before this one starts.
	After []int
	// Gang is set if the tasks work only while all of them run.
	Gang bool
	// OneRack is set if the tasks are slow when they run on more than one rack.
	OneRack bool
	// Label is the label that a worker must have; empty means any worker.
	Label string
	// DataRack is the rack of the tasks' data, or empty. On other racks the tasks are slow.
	DataRack model.Rack
	// MaxPerWorker is the largest number of tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int
	// WritesCheckpoints is set if the tasks write checkpoints.
	WritesCheckpoints bool
	// Speculative is set if two attempts of a task may run at the same time; the first end counts.
	Speculative bool
	// LongRunning is set if the tasks run until the job is cancelled. They are restarted however they end.
	LongRunning bool
	// MaxUnavailable is how many long-running tasks may be down at a time because of actions of the scheduler.
	MaxUnavailable int
	// Image names the program image of the tasks. Tasks with the same image behave alike.
	Image string
	// TailLatencyLimit is the limit for the tail latency of a long-running task.
	TailLatencyLimit clock.Millis
	// BestEffort is set for best-effort tasks: their processor need is not charged, and they use the
	// processor time that other tasks leave unused.
	BestEffort bool
}

// Charge returns the capacity that a task of the step is charged for on its worker.
func (s Step) Charge() model.Size {
	if s.BestEffort {
		return model.Size{Memory: s.Need.Memory, Accel: s.Need.Accel}
	}
	return s.Need
}

// OccurrenceCount returns the number of occurrences.
func (j Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// Due returns when an occurrence may start, since 1970, or 0 for a job without due times.
func (j Job) Due(occurrence int) clock.Millis {
	if j.Occurrences == 0 {
		return 0
	}
	return j.FirstDue + clock.Millis(occurrence)*j.Period
}

// IsLongRunning reports whether a step of the job has long-running tasks.
func (j Job) IsLongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// Limits of one job. They bound the memory that a single request can make a leader use.
const (
	maxSpecBytes   = 4000
	maxTasks       = 20_000 // per occurrence
	maxOccurrences = 10_000
	maxRecords     = 400_000 // tasks of all occurrences
)

// MaxSteps is the largest number of steps of a job.
const MaxSteps = 256

// Check returns an error that says why the job can't be accepted, or nil.
func (j Job) Check() error {
	if len(j.Spec) > maxSpecBytes {
		return fault.Wrap(fault.ErrInvalid, "job spec has %d bytes, more than the limit of %d", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fault.Wrap(fault.ErrInvalid, "job has %d steps, want 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.Occurrences < 0 || j.Occurrences > maxOccurrences || (j.Occurrences > 1 && j.Period <= 0) {
		return fault.Wrap(fault.ErrInvalid, "job has invalid number of occurrences %d or period %s", j.Occurrences, j.Period)
	}
	if j.Period < 0 || j.Period > maxDuration || j.FirstDue < 0 || j.FirstDue > maxDue {
		return fault.Wrap(fault.ErrInvalid, "job has period %s, want 0 to %s, or first due time %d, want 0 to %d", j.Period, maxDuration, int64(j.FirstDue), int64(maxDue))
	}
	total := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
		total += s.Count
	}
	if total > maxTasks {
		return fault.Wrap(fault.ErrInvalid, "job has %d tasks per occurrence, more than the limit of %d", total, maxTasks)
	}
	if n := total * j.OccurrenceCount(); n > maxRecords {
		return fault.Wrap(fault.ErrInvalid, "job has %d tasks in %d occurrences, more than the limit of %d", n, j.OccurrenceCount(), maxRecords)
	}
	return nil
}

// maxDue is the latest time at which an occurrence may be due first, since 1970.
const maxDue = 100 * maxDuration

func (s Step) check(index int) error {
	if s.Count > maxTasks { // before it is added to others, which could overflow
		return fault.Wrap(fault.ErrInvalid, "step %d has %d tasks, more than the limit of %d", index, s.Count, maxTasks)
	}
	if s.Count < 1 || s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.Accel < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fault.Wrap(fault.ErrInvalid, "step %d: count %d is below 1, or need %s, tasks per worker %d or unavailable tasks %d is negative", index, s.Count, s.Need, s.MaxPerWorker, s.MaxUnavailable)
	}
	if n := s.Need; n.CPU > maxMillicores || n.Memory > maxMebibytes || n.Accel > maxAccels || s.Estimate < 0 || s.Estimate > maxDuration || s.TailLatencyLimit < 0 || s.TailLatencyLimit > maxDuration {
		return fault.Wrap(fault.ErrInvalid, "step %d: need %s is above %s, or estimate %s or tail latency %s is not from 0 to %s",
			index, n, model.Size{CPU: maxMillicores, Memory: maxMebibytes, Accel: maxAccels}, s.Estimate, s.TailLatencyLimit, maxDuration)
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return fault.Wrap(fault.ErrInvalid, "step %d depends on step %d, which is not an earlier step", index, a)
		}
	}
	return nil
}

// Task names one task of one occurrence of a job.
type Task struct {
	_          struct{} `cbor:",toarray"`
	Job        model.JobID
	Occurrence int // from 0
	Step       int
	Index      int
}

// String returns the name of the task in the form "JOB.OCCURRENCE.STEP.INDEX".
func (t Task) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step in the form "JOB.OCCURRENCE.STEP".
func (t Task) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTask parses a task name in the form that String returns.
func ParseTask(s string) (Task, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return Task{}, fault.Wrap(fault.ErrInvalid, "parse task name %q: want 4 parts separated by dots", s)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return Task{}, fault.Wrap(fault.ErrInvalid, "parse task name %q: part %q is not a number from 0", s, p)
		}
		n[i] = v
	}
	return Task{Job: model.JobID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}
