package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
	"vanillabridge/core/outbox"
	"vanillabridge/core/plan"
	"vanillabridge/core/relay"
)

// Timing of a relay.
const (
	// reportInterval is the period of a relay's reports without answers; they renew its permission.
	reportInterval = 150 * clock.Millisecond
	// idleReportInterval is the period while the leader uses no relays.
	idleReportInterval = 500 * clock.Millisecond
	// reportTimeout limits the call of a report.
	reportTimeout = 600 * clock.Millisecond
	// holdLinger and answerLinger are how long holds, and their answers without ends, wait for further ones that are sent
	// with them. Each message costs more bytes across regions than one more call in it.
	holdLinger   = 25 * clock.Millisecond
	answerLinger = 50 * clock.Millisecond
	// maxReports is the number of reports that may be on their way to the leader at a time.
	maxReports = 4
	// maxAnswersPerReport bounds a report; a worker's report lists its attempts and at most 500 ends.
	maxAnswersPerReport = 256
)

// carrier makes calls to workers for the leader of another core.
type carrier struct {
	clock   clock.Source
	workers Workers
	budget  outbox.Budget
	// report calls the leader; leader returns its name, or "" if this core leads or knows none, and the newest known term.
	report func(context.Context, model.Instance, relayReport) (relayReply, error)
	leader func() (name model.Instance, term uint64)
	// holds and orders have an entry for each call in progress.
	holds, orders chan struct{}
	lanes         *lanes
	wake          chan struct{}

	mu         sync.Mutex
	permit     relay.Permit
	isNeeded   bool
	reportNow  bool
	inHand     int
	answers    []carriedAnswer // of the permit's term
	lastReport uint64
	memories   map[flow.Incarnation]relay.Memory
}

func newCarrier(o Options, report func(context.Context, model.Instance, relayReport) (relayReply, error), leader func() (model.Instance, uint64)) *carrier {
	b := outbox.DivideDescriptors(o.MaxDescriptors)
	return &carrier{
		clock: o.Clock, workers: o.Workers, budget: b, report: report, leader: leader,
		holds: make(chan struct{}, b.Holds), orders: make(chan struct{}, b.Orders), lanes: newLanes(), wake: make(chan struct{}, 1),
		// Numbers of reports begin at random, so that none is one of an earlier process, whatever the time of day was then.
		lastReport: rand.Uint64N(1 << 62), memories: map[flow.Incarnation]relay.Memory{},
	}
}

// isUsed reports whether the leader uses relays.
func (c *carrier) isUsed() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isNeeded
}

// handleBatch takes over the calls of a batch. An error means that none of them is made.
func (c *carrier) handleBatch(ctx context.Context, from model.Instance, b carryBatch) (struct{}, error) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case relay.IsStale(now, b.Echo):
		return struct{}{}, fault.Wrap(fault.ErrUnavailable, "batch of %s: it is %d ms old", from, now-b.Echo)
	case !c.permit.Allows(b.Term, now):
		return struct{}{}, fault.Wrap(fault.ErrNotLeader, "batch of %s: no permission for term %d", from, b.Term)
	case c.inHand+len(b.Calls) > relay.MaxWaiting:
		return struct{}{}, fault.Wrap(fault.ErrOverloaded, "batch of %s: %d calls are in hand", from, c.inHand)
	}
	c.inHand += len(b.Calls)
	// The calls outlive the call of the batch, but not the connection's transport.
	ctx = context.WithoutCancel(ctx)
	for _, call := range b.Calls {
		go c.carry(ctx, b.Term, call, now+call.Timeout)
	}
	return struct{}{}, nil
}

// carry makes a call, if the permission of its term still holds, and queues the answer.
func (c *carrier) carry(ctx context.Context, term uint64, call carriedCall, deadline clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, max(deadline-c.clock.Now(), 0).Duration())
	defer cancel()
	slots := c.orders
	if call.Class == relay.ClassHold {
		slots = c.holds
	}
	answer := carriedAnswer{Number: call.Number, Verdict: plan.VerdictNotSent}
	defer func() { c.addAnswer(term, answer, call.Class) }()
	if call.Class != relay.ClassHold {
		if !c.lanes.enter(ctx, call.incarnation()) {
			return
		}
		defer c.lanes.leave(call.incarnation())
	}
	select {
	case slots <- struct{}{}:
		if c.mayCall(term) {
			answer = c.makeCall(ctx, term, call)
		}
		<-slots
	case <-ctx.Done():
	}
}

// mayCall reports whether calls of a term may be made now. A leader that hands over gives up its lease before the
// permission ends, so the newest term that this core knows of counts too.
func (c *carrier) mayCall(term uint64) bool {
	if _, newest := c.leader(); newest > term {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permit.Allows(term, c.clock.Now())
}

func (c *carrier) makeCall(ctx context.Context, term uint64, call carriedCall) carriedAnswer {
	conditions := Call{Fence: term, CloseConn: call.CloseConn || (call.CloseLast && c.lanes.isLast(call.incarnation()))}
	answer := carriedAnswer{Number: call.Number}
	switch call.Class {
	case relay.ClassStart:
		answer.Verdict, answer.Clock = c.workers.Start(ctx, conditions, call.start())
	case relay.ClassStop:
		answer.Verdict, answer.Clock = c.workers.Stop(ctx, conditions, call.stop())
	default:
		report, failure, err := c.workers.Hold(ctx, conditions, call.hold())
		if err != nil {
			answer.Failure, answer.Error = failure, fault.Text(err)
			return answer
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lastReport++
		delta, memory := c.memories[call.incarnation()].Encode(c.clock.Now(), c.lastReport, call.Base, report)
		if len(c.memories) > relay.MaxWaiting {
			clear(c.memories) // processes that are gone; reports list all once more
		}
		c.memories[call.incarnation()] = memory
		answer.Report = &delta
	}
	return answer
}

// addAnswer queues an answer for the leader of its term. A later leader has no use for it.
func (c *carrier) addAnswer(term uint64, answer carriedAnswer, class relay.Class) {
	c.mu.Lock()
	c.inHand--
	if term == c.permit.Term() {
		c.answers = append(c.answers, answer)
	}
	isFull := len(c.answers) >= maxAnswersPerReport
	c.mu.Unlock()
	hasEnds := answer.Report != nil && len(answer.Report.Finished) > 0
	if class != relay.ClassHold || hasEnds || isFull {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// run reports to the leader until ctx ends: at once when orders are answered, soon when holds are, and else when the
// permission has to be renewed.
func (c *carrier) run(ctx context.Context) {
	if c == nil {
		return
	}
	reports := make(chan struct{}, maxReports)
	ticker := time.NewTicker(answerLinger.Duration())
	defer ticker.Stop()
	lastReport := c.clock.Now() - idleReportInterval
	var lastLeader model.Instance
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wake:
		}
		leader, _ := c.leader()
		if leader == "" {
			continue
		}
		interval, term, answers := c.nextReport()
		if len(answers) == 0 && leader == lastLeader && c.clock.Now()-lastReport < interval {
			continue
		}
		select {
		case reports <- struct{}{}:
		case <-ctx.Done():
			return
		}
		lastReport, lastLeader = c.clock.Now(), leader
		go func() {
			defer func() { <-reports }()
			c.sendReport(ctx, leader, term, answers)
		}()
	}
}

// nextReport returns the interval of reports without answers, and takes the answers of the next one and their term.
func (c *carrier) nextReport() (clock.Millis, uint64, []carriedAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.answers), maxAnswersPerReport)
	answers := slices.Clone(c.answers[:n])
	c.answers = slices.Delete(c.answers, 0, n)
	if c.reportNow {
		c.reportNow = false
		return 0, c.permit.Term(), answers
	}
	if c.isNeeded {
		return reportInterval, c.permit.Term(), answers
	}
	return idleReportInterval, c.permit.Term(), answers
}

// sendReport reports answers of a term to the leader and renews the permission. Answers that do not arrive are not
// repeated: the leader takes their calls for unanswered. The term is that of the answers, as the leader of another one
// gives the same numbers to other calls.
func (c *carrier) sendReport(ctx context.Context, leader model.Instance, term uint64, answers []carriedAnswer) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
	defer cancel()
	now := c.clock.Now()
	c.mu.Lock()
	r := relayReport{Term: term, HasPermit: c.permit.Allows(term, now), Clock: now, Conns: min(c.budget.Holds, c.budget.Orders), Answers: answers}
	c.mu.Unlock()
	reply, err := c.report(ctx, leader, r)
	if err != nil {
		if len(answers) > 0 || !errors.Is(err, fault.ErrNotLeader) {
			klog.V(1).InfoS("report to the leader failed", "leader", leader, "answers", len(answers), "error", fault.Text(err))
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.permit.Term()
	c.permit = c.permit.Extend(reply.Term, now, reply.Remaining)
	if c.permit.Term() != before {
		c.answers, c.memories = nil, map[flow.Incarnation]relay.Memory{}
		klog.InfoS("relay serves a leader", "leader", leader, "term", reply.Term, "needed", reply.Needed)
	}
	if reply.Needed && !r.HasPermit {
		c.reportNow = true // the leader uses a relay only once it has reported that it has a permission
	}
	c.isNeeded = reply.Needed
}
