package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// Command is a change of the replicated state: one of Configure, Submit, Cancel, RegisterWorker,
// RemoveWorker, Assign, Settle, PruneJobs and RecordTombstones.
type Command interface{ command() }

// Configure replaces the configuration if the version of the new one is higher.
type Configure struct {
	_      struct{} `cbor:",toarray"`
	Config flow.Config
}

// Submit adds a job. It has no effect if a job with the same identifier exists.
type Submit struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Path string // path prefix of the queue, followed by the identifier of the job
	Job  flow.Job
	Now  clock.Millis // since 1970
	// Key identifies the caller's team.
	Key flow.KeyHash `cbor:"-"`
}

// Cancel ends a job. If there is none, one that is submitted later is accepted as cancelled; see RecordTombstones.
type Cancel struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Path string
	Now  clock.Millis
	// Key identifies the caller's team.
	Key flow.KeyHash `cbor:"-"`
}

// RegisterWorker adds a worker or updates its description.
type RegisterWorker struct {
	_      struct{} `cbor:",toarray"`
	Worker flow.Worker
}

// RemoveWorker removes a worker that has left or whose incarnation has ended. Tasks that are still
// assigned to it are settled before.
type RemoveWorker struct {
	_         struct{} `cbor:",toarray"`
	ID        model.WorkerID
	StartedAt clock.Millis
}

// Incarnation returns the incarnation that is removed.
func (c RemoveWorker) Incarnation() flow.Incarnation {
	return flow.Incarnation{ID: c.ID, StartedAt: c.StartedAt}
}

// Placement assigns one attempt of a task to one incarnation of a worker.
type Placement struct {
	_               struct{} `cbor:",toarray"`
	Task            flow.Task
	Attempt         int
	Worker          model.WorkerID
	WorkerStartedAt clock.Millis
}

// Incarnation returns the incarnation that the attempt is assigned to.
func (p Placement) Incarnation() flow.Incarnation {
	return flow.Incarnation{ID: p.Worker, StartedAt: p.WorkerStartedAt}
}

// Assign records placements. It is committed before any start order is sent to a worker.
type Assign struct {
	_          struct{} `cbor:",toarray"`
	Placements []Placement
	// Term is the term of the proposing leader; only the planner of that term sends the start orders.
	Term uint64
}

// AttemptEnd records how an attempt ended.
type AttemptEnd struct {
	_       struct{} `cbor:",toarray"`
	Task    flow.Task
	Attempt int
	End     End
	// Checkpoint is the last checkpoint of the attempt, or empty if there is none.
	Checkpoint string
}

// Settle records the ends of attempts. Workers may discard ends only after this command is committed.
type Settle struct {
	_    struct{} `cbor:",toarray"`
	Ends []AttemptEnd
	Now  clock.Millis // since 1970
	// Term and Number identify the settlement, so that a leader can distinguish its own from those of
	// other leaders.
	Term   uint64
	Number uint64
	// RunTimes holds the run times of the steps that these ends complete, if they are learned.
	RunTimes []RunTime `cbor:"-"`
}

// PruneJobs removes settled jobs that ended before a time, and the tombstones of jobs that were cancelled before it.
type PruneJobs struct {
	_           struct{} `cbor:",toarray"`
	EndedBefore clock.Millis
}

func (Configure) command()      {}
func (Submit) command()         {}
func (Cancel) command()         {}
func (RegisterWorker) command() {}
func (RemoveWorker) command()   {}
func (Assign) command()         {}
func (Settle) command()         {}
func (PruneJobs) command()      {}

// End says how an attempt of a task ended.
type End uint8

// Ends of an attempt.
const (
	// EndDone is success.
	EndDone End = iota + 1
	// EndFailed is a failure of the task, the only end that counts towards the limit of attempts.
	EndFailed
	// EndStopped means that the leader ordered the attempt to stop.
	EndStopped
	// EndLeaseExpired means that the worker stopped the attempt because its lease expired.
	EndLeaseExpired
	// EndGangStopped means that the attempt was stopped because another member of the gang ended.
	EndGangStopped
	// EndGangTimeout means that the other members of the gang did not start in time.
	EndGangTimeout
	// EndLost means that the attempt never started, or that its worker could not be reached until the lease had
	// expired, or has left.
	EndLost
	// EndStartCrash means that the worker's process ended while it started the attempt.
	EndStartCrash
	// EndWorkerCrash means that the worker's process ended when the attempt was, or may have been, on it for a
	// short time.
	EndWorkerCrash
)

// String returns the text of the end in logs.
func (e End) String() string {
	switch e {
	case EndDone:
		return "done"
	case EndFailed:
		return "failed"
	case EndStopped:
		return "stopped"
	case EndLeaseExpired:
		return "lapsed"
	case EndGangStopped:
		return "broken"
	case EndGangTimeout:
		return "alone"
	case EndLost:
		return "lost"
	case EndStartCrash:
		return "worker crashed at start"
	case EndWorkerCrash:
		return "worker crashed"
	}
	return "unknown"
}

// Kinds of commands in the log. The values are stored, so new kinds must be added at the end.
const (
	kindConfigure byte = iota + 1
	kindSubmit
	kindCancel
	kindRegisterWorker
	kindRemoveWorker
	kindAssign
	kindSettle
	kindPruneJobs
	kindConfigureTeams
	kindSubmitKey
	kindCancelKey
	kindSettleTimed
	kindRecordTombstones
)

// Encode returns the encoding of a command in the log: a byte for its kind, and its fields in CBOR.
func Encode(c Command) ([]byte, error) {
	kind, fields := formOf(c)
	data, err := cbor.Marshal(fields)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode %T: %v", c, err)
	}
	return append([]byte{kind}, data...), nil
}

// formOf returns the kind of a command and the value that is encoded for it.
func formOf(c Command) (kind byte, fields any) {
	switch c := c.(type) {
	case Configure:
		if c.Config.Access.IsZero() {
			return kindConfigure, c
		}
		return kindConfigureTeams, configureTeams{Config: c.Config, Access: c.Config.Access}
	case Submit:
		if c.Key == (flow.KeyHash{}) {
			return kindSubmit, c
		}
		return kindSubmitKey, submitKey{Submit: c, Key: c.Key}
	case Cancel:
		if c.Key == (flow.KeyHash{}) {
			return kindCancel, c
		}
		return kindCancelKey, cancelKey{Cancel: c, Key: c.Key}
	case RegisterWorker:
		return kindRegisterWorker, c
	case RemoveWorker:
		return kindRemoveWorker, c
	case Assign:
		return kindAssign, c
	case Settle:
		if len(c.RunTimes) == 0 {
			return kindSettle, c
		}
		return kindSettleTimed, settleTimed{Settle: c, RunTimes: c.RunTimes}
	case PruneJobs:
		return kindPruneJobs, c
	case RecordTombstones:
		return kindRecordTombstones, c
	}
	return 0, c
}

// Decode decodes a command that Encode encoded.
func Decode(data []byte) (Command, error) {
	if len(data) == 0 {
		return nil, fault.Wrap(fault.ErrCorrupt, "decode command: no data")
	}
	switch data[0] {
	case kindConfigure:
		return decode[Configure](data[1:])
	case kindSubmit:
		return decode[Submit](data[1:])
	case kindCancel:
		return decode[Cancel](data[1:])
	case kindRegisterWorker:
		return decode[RegisterWorker](data[1:])
	case kindRemoveWorker:
		return decode[RemoveWorker](data[1:])
	case kindAssign:
		return decode[Assign](data[1:])
	case kindSettle:
		return decode[Settle](data[1:])
	case kindPruneJobs:
		return decode[PruneJobs](data[1:])
	case kindConfigureTeams:
		return decodeForm[configureTeams](data[1:])
	case kindSubmitKey:
		return decodeForm[submitKey](data[1:])
	case kindCancelKey:
		return decodeForm[cancelKey](data[1:])
	case kindSettleTimed:
		return decodeForm[settleTimed](data[1:])
	case kindRecordTombstones:
		return decode[RecordTombstones](data[1:])
	}
	return nil, fault.Wrap(fault.ErrCorrupt, "decode command: unknown kind %d", data[0])
}

func decode[C Command](data []byte) (Command, error) {
	var c C
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, fault.Wrap(fault.ErrCorrupt, "decode %T: %v", c, err)
	}
	return c, nil
}
