package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// Command is a change of the state: one of Configure, Submit, Cancel, Enlist, Dismiss, Assign,
// Settle and Forget.
type Command interface{ command() }

// Configure puts a configuration in force if its version is higher than the present one.
type Configure struct {
	_      struct{} `cbor:",toarray"`
	Config flow.Config
}

// Submit accepts a job, once for one identifier.
type Submit struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Path string // prefix of the queue and identifier of the job
	Job  flow.Job
	Now  clock.Millis // since 1970
}

// Cancel ends a job.
type Cancel struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Path string
	Now  clock.Millis
}

// Enlist records what a worker says of itself.
type Enlist struct {
	_      struct{} `cbor:",toarray"`
	Worker flow.Worker
}

// Dismiss forgets a worker that has left or whose life has ended. Tasks that are still assigned to
// it are settled before.
type Dismiss struct {
	_    struct{} `cbor:",toarray"`
	ID   model.WorkerID
	Born clock.Millis
}

// Placement assigns one attempt of a task to one life of a worker.
type Placement struct {
	_       struct{} `cbor:",toarray"`
	Task    flow.Task
	Attempt int
	Worker  model.WorkerID
	Born    clock.Millis
}

// Assign records placements before any worker hears of them.
type Assign struct {
	_     struct{} `cbor:",toarray"`
	Items []Placement
	// Term is the leader's; only its own plan sends orders for the items.
	Term uint64
}

// Ending is how an attempt ended.
type Ending struct {
	_       struct{} `cbor:",toarray"`
	Task    flow.Task
	Attempt int
	End     End
	// Saved is the last checkpoint; empty if there is none.
	Saved string
}

// Settle records endings before the workers may forget them.
type Settle struct {
	_     struct{} `cbor:",toarray"`
	Items []Ending
	Now   clock.Millis // since 1970
	// Term and Number name the settlement, so that a leader knows its own from those of others.
	Term   uint64
	Number uint64
}

// Forget drops jobs that ended before a time.
type Forget struct {
	_      struct{} `cbor:",toarray"`
	Before clock.Millis
}

func (Configure) command() {}
func (Submit) command()    {}
func (Cancel) command()    {}
func (Enlist) command()    {}
func (Dismiss) command()   {}
func (Assign) command()    {}
func (Settle) command()    {}
func (Forget) command()    {}

// End says how an attempt of a task ended.
type End uint8

// Ends of an attempt.
const (
	// EndDone is success.
	EndDone End = iota + 1
	// EndFailed counts against the attempts of the job.
	EndFailed
	// EndStopped followed an order to stop.
	EndStopped
	// EndLapsed followed the end of the lease.
	EndLapsed
	// EndBroken followed the end of another member of the gang.
	EndBroken
	// EndAlone is a gang member that waited in vain for the others.
	EndAlone
	// EndLost means that the worker's life ended, or that the attempt never began.
	EndLost
)

// String returns the word for the end in logs.
func (e End) String() string {
	switch e {
	case EndDone:
		return "done"
	case EndFailed:
		return "failed"
	case EndStopped:
		return "stopped"
	case EndLapsed:
		return "lapsed"
	case EndBroken:
		return "broken"
	case EndAlone:
		return "alone"
	case EndLost:
		return "lost"
	}
	return "unknown"
}

// Kinds of commands in the log; new ones go to the end.
const (
	kindConfigure byte = iota + 1
	kindSubmit
	kindCancel
	kindEnlist
	kindDismiss
	kindAssign
	kindSettle
	kindForget
)

// Encode returns the form of a command in the log: its kind and its fields in CBOR.
func Encode(c Command) ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode %T: %v", c, err)
	}
	return append([]byte{kindOf(c)}, data...), nil
}

func kindOf(c Command) byte {
	switch c.(type) {
	case Configure:
		return kindConfigure
	case Submit:
		return kindSubmit
	case Cancel:
		return kindCancel
	case Enlist:
		return kindEnlist
	case Dismiss:
		return kindDismiss
	case Assign:
		return kindAssign
	case Settle:
		return kindSettle
	case Forget:
		return kindForget
	}
	return 0
}

// Decode is the inverse of Encode.
func Decode(data []byte) (Command, error) {
	if len(data) == 0 {
		return nil, fault.Wrap(fault.ErrCorrupt, "empty command")
	}
	switch data[0] {
	case kindConfigure:
		return decode[Configure](data[1:])
	case kindSubmit:
		return decode[Submit](data[1:])
	case kindCancel:
		return decode[Cancel](data[1:])
	case kindEnlist:
		return decode[Enlist](data[1:])
	case kindDismiss:
		return decode[Dismiss](data[1:])
	case kindAssign:
		return decode[Assign](data[1:])
	case kindSettle:
		return decode[Settle](data[1:])
	case kindForget:
		return decode[Forget](data[1:])
	}
	return nil, fault.Wrap(fault.ErrCorrupt, "command kind %d", data[0])
}

func decode[C Command](data []byte) (Command, error) {
	var c C
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, fault.Wrap(fault.ErrCorrupt, "decode %T: %v", c, err)
	}
	return c, nil
}
