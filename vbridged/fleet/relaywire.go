package fleet

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
	"vanillabridge/core/relay"
)

// Methods of the calls between a leader and its relays.
const (
	methodCarry  = "carry"  // leader to relay: calls to workers
	methodReport = "report" // relay to leader: answers, in return for permission
)

// carryBatch holds calls that a relay makes for the leader of a term.
type carryBatch struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	// Echo is the relay's clock in the newest report that the leader had heard.
	Echo  clock.Millis
	Calls []carriedCall
}

// carriedCall is a call to a worker.
type carriedCall struct {
	_ struct{} `cbor:",toarray"`
	// Number is unique in the term.
	Number    uint64
	Class     relay.Class
	CloseConn bool
	// CloseLast is set if the connection is closed when no further order waits for the worker.
	CloseLast bool
	// Timeout limits the call at the relay, from the arrival of its batch.
	Timeout   clock.Millis
	Worker    model.WorkerID
	StartedAt clock.Millis
	Address   string
	Expires   clock.Millis
	// Order is set for starts and stops.
	Order *carriedOrder
	// AckedThrough, MaxWait and Base, the number of the report that the leader remembers, are set for holds.
	AckedThrough int64
	MaxWait      clock.Millis
	Base         uint64
}

type carriedOrder struct {
	_          struct{} `cbor:",toarray"`
	Task       flow.Task
	Attempt    int
	Spec       string
	Checkpoint string
	Ticket     string
	Reason     string
}

// size returns about how many bytes the call takes in a batch.
func (c carriedCall) size() int {
	const fixed = 60
	n := fixed + len(c.Worker) + len(c.Address)
	if o := c.Order; o != nil {
		n += fixed + len(o.Spec) + len(o.Checkpoint) + len(o.Ticket) + len(o.Reason)
	}
	return n
}

// incarnation returns the process that the call is meant for.
func (c carriedCall) incarnation() flow.Incarnation { return c.worker().Incarnation() }

func (c carriedCall) worker() flow.Worker {
	return flow.Worker{ID: c.Worker, StartedAt: c.StartedAt, Address: c.Address}
}

func (c carriedCall) start() plan.Start {
	return plan.Start{Worker: c.worker(), Task: c.Order.Task, Attempt: c.Order.Attempt, Spec: c.Order.Spec, Expires: c.Expires, Checkpoint: c.Order.Checkpoint, Ticket: c.Order.Ticket}
}

func (c carriedCall) stop() plan.Stop {
	return plan.Stop{Worker: c.worker(), Task: c.Order.Task, Attempt: c.Order.Attempt, Reason: c.Order.Reason}
}

func (c carriedCall) hold() plan.Hold {
	return plan.Hold{Worker: c.worker(), Expires: c.Expires, AckedThrough: c.AckedThrough, MaxWait: c.MaxWait}
}

// carriedAnswer is the answer to a carriedCall.
type carriedAnswer struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// Verdict and Clock answer an order. A hold that was not sent has VerdictNotSent.
	Verdict plan.Verdict
	Clock   clock.Millis
	// Failure and Error say why a hold failed; Report is set if it did not.
	Failure plan.Failure
	Error   string
	Report  *relay.Delta
}

// relayReport is what a relay tells the leader.
type relayReport struct {
	_ struct{} `cbor:",toarray"`
	// Term is the term of the answers, and the one for which the relay has a permission if HasPermit is set.
	Term      uint64
	HasPermit bool
	// Clock is the relay's clock when it made the call.
	Clock clock.Millis
	// Conns is the number of workers to which the relay can keep connections open.
	Conns   int
	Answers []carriedAnswer
}

// relayReply gives a relay the permission to call workers for as long as the leader's lease still runs.
type relayReply struct {
	_         struct{} `cbor:",toarray"`
	Term      uint64
	Remaining clock.Millis
	// Needed is set while the leader uses relays.
	Needed bool
}
