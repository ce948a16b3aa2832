package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

// executeDecisions carries out the planner's decisions without blocking. The caller holds mu.
func (d *Domain) executeDecisions(s *session, list []plan.Decision) {
	for _, decision := range list {
		switch x := decision.(type) {
		case plan.Propose:
			d.propose(s, x.Command)
		case plan.Start:
			queueOrder(s, x.Worker.Incarnation(), x.Task, x.Attempt, d.now()+startSendTimeout, false, x)
		case plan.Stop:
			queueOrder(s, x.Worker.Incarnation(), x.Task, x.Attempt, d.now()+stopSendTimeout, true, x)
		case plan.TicketRequest:
			go d.requestTickets(s, x)
		case plan.WatchWorker:
			go d.sendHolds(s, x.Worker)
		case plan.LogEvent:
			d.logDecision(s, x)
		case plan.LogDone:
			d.logDone(s, x)
		}
	}
	d.sendOrders(s)
}

// propose appends a command to the log. If that fails while this instance still leads, the planner
// has assumed a command that is not in the log. Leadership is then transferred, so that the next
// leader creates its planner from the log.
func (d *Domain) propose(s *session, c ledger.Command) {
	data, err := ledger.Encode(c)
	if err != nil {
		klog.ErrorS(err, "command not proposed: it cannot be encoded")
		return
	}
	d.group.ProposeAsync(s.term, data, func(_ []byte, err error) {
		if err == nil || s.ctx.Err() != nil {
			return
		}
		klog.InfoS("proposal failed", "term", s.term, "error", err.Error())
		if errors.Is(err, fault.ErrNotLeader) || errors.Is(err, fault.ErrStopped) {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, electionTimeout.Duration())
		defer cancel()
		if err := d.group.TransferLeadership(ctx); err != nil {
			klog.InfoS("leadership transfer after a failed proposal failed", "error", err.Error())
		}
	})
}

// sendHolds sends holds to a worker until the planner has no more for this incarnation of the worker
// or the session ends.
func (d *Domain) sendHolds(s *session, incarnation flow.Incarnation) {
	for {
		way := s.relays.route(incarnation)
		if way.wait {
			sleep(s.ctx, leaderLeasePollInterval)
			if s.ctx.Err() != nil {
				return
			}
			continue
		}
		if way.link == nil {
			select {
			case s.holdSlots <- struct{}{}:
			case <-s.ctx.Done():
				return
			}
		}
		wait, ok := d.sendNextHold(s, incarnation, way)
		if way.link == nil {
			<-s.holdSlots
		}
		if !ok {
			return
		}
		if wait > 0 {
			sleep(s.ctx, wait)
		}
	}
}

// sendNextHold sends the next hold of a worker if it is due. It returns how long to wait before the next
// call, and false once there are no more holds to send.
func (d *Domain) sendNextHold(s *session, incarnation flow.Incarnation, way route) (wait clock.Millis, ok bool) {
	d.mu.Lock()
	if d.session != s {
		d.mu.Unlock()
		return 0, false
	}
	if !d.mayAct(s) {
		d.mu.Unlock()
		return leaderLeasePollInterval, true
	}
	h, wait, ok := s.planner.NextHold(d.now(), incarnation)
	call := d.workerCall(s)
	call.CloseConn, call.way = call.CloseConn || way.closeConn, &way
	d.mu.Unlock()
	if !ok || wait > 0 {
		return wait, ok
	}
	if h.MaxWait >= longHoldWait {
		h.MaxWait = max(h.MaxWait, way.maxWait)
	}
	if call.CloseConn {
		// Other workers wait for the descriptor, so this one is polled instead.
		h.MaxWait, wait = 0, holdPollInterval
	}
	d.sendHold(s, incarnation, h, call)
	return wait, true
}

func sleep(ctx context.Context, t clock.Millis) {
	timer := time.NewTimer(t.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (d *Domain) sendHold(s *session, incarnation flow.Incarnation, h plan.Hold, call Call) {
	ctx, cancel := context.WithTimeout(s.ctx, (h.MaxWait + holdReplyGrace + call.way.grace()).Duration())
	defer cancel()
	sent := d.now()
	report, failure, err := s.workers.Hold(ctx, call, h)
	d.metrics.countHold(err == nil)
	if s.ctx.Err() != nil {
		return
	}
	if err != nil {
		klog.InfoS("hold failed", "worker", incarnation.ID, "born", int64(incarnation.StartedAt), "term", s.term, "expires", int64(h.Expires),
			"ackedEnd", h.AckedThrough, "took", int64(d.now()-sent), "error", err.Error())
		d.stepSession(s, plan.HoldFailed{Worker: incarnation, Cause: failure})
		return
	}
	report.Worker, report.SentAt, report.ReceivedAt = incarnation, sent, d.now()
	d.stepSession(s, report)
}

// adviseRequest holds the parameters of a ticket call that another instance makes for the leader.
type adviseRequest struct {
	_       struct{} `cbor:",toarray"`
	Step    string
	Workers []model.WorkerID
}

func (d *Domain) requestTickets(s *session, call plan.TicketRequest) {
	ctx, cancel := context.WithTimeout(s.ctx, adviseTimeout.Duration())
	defer cancel()
	start := time.Now()
	ids := make([]model.WorkerID, len(call.Workers))
	for i, process := range call.Workers {
		ids[i] = process.ID
	}
	var a Advice
	var err error
	if call.Caller == d.options.Self.Instance {
		a, err = d.options.Tickets.Advise(ctx, call.Task.StepName(), ids)
	} else {
		a, err = callCBOR[adviseRequest, Advice](ctx, d.network, call.Caller, methodAdvise, adviseRequest{Step: call.Task.StepName(), Workers: ids})
	}
	d.metrics.observeTicketCall(err == nil, time.Since(start))
	klog.InfoS("ticket call", "reason", call.Reason, "step", call.Task.StepName(), "job", call.Task.Job, "caller", call.Caller, "asked", len(call.Workers),
		"approved", len(a.Tickets), "took", time.Since(start).Milliseconds(), "term", s.term, "error", errorText(err))
	d.stepSession(s, plan.TicketsAnswered{Request: call, OK: err == nil, Tickets: ticketsOf(call.Workers, a), Validity: a.ValidFor})
}

// ticketsOf returns the tickets of the processes of a request. The answer names workers only: a process that has started since is not
// the one of the request, so that it gets none of them.
func ticketsOf(processes []flow.Incarnation, a Advice) map[flow.Incarnation]string {
	tickets := make(map[flow.Incarnation]string, len(a.Tickets))
	for _, process := range processes {
		if ticket, ok := a.Tickets[process.ID]; ok {
			tickets[process] = ticket
		}
	}
	return tickets
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return fault.Text(err)
}

// logDecision logs and counts a decision of the planner. The key "age" is the age in milliseconds of the
// input that the decision was based on, "born" the start of the process of a worker that the decision concerns, and "found"
// that of the one whose answer it follows from, if that is another one.
func (d *Domain) logDecision(s *session, event plan.LogEvent) {
	d.metrics.countDecision(event.Event)
	fields := []any{
		"job", event.Job, "task", event.Task, "attempt", event.Attempt, "worker", event.Worker.ID,
		"cause", event.Cause, "age", int64(event.Age), "term", s.term, "version", d.state.Config().Version,
	}
	if event.Worker.ID != "" {
		fields = append(fields, "born", int64(event.Worker.StartedAt))
	}
	if event.Found != 0 {
		fields = append(fields, "found", int64(event.Found))
	}
	if len(event.Starts) > 0 {
		fields = append(fields, "starts", event.Starts)
	}
	if event.EndNumber != 0 {
		fields = append(fields, "end", event.EndNumber)
	}
	if k := event.Known; k != (plan.ProcessState{}) {
		fields = append(fields, "clock", int64(k.Clock), "leaseEnd", int64(k.LeaseEnd), "listedEnd", k.ListedEnd, "ackedEnd", k.AckedEnd)
	}
	if f := event.Forecast; f != (plan.Forecast{}) {
		d.metrics.observeRunTime(f)
		fields = append(fields, "queue", f.Queue, "declared", int64(f.Declared), "expected", int64(f.Expected), "runs", f.Runs, "teams", f.Teams)
		if f.Actual > 0 {
			fields = append(fields, "actual", int64(f.Actual))
		}
	}
	klog.InfoS(event.Event, fields...)
}

// maxDonePerLine bounds the tasks in a line, which is left out if it is longer than the log accepts.
const maxDonePerLine = 100

// logDone logs the tasks that ended as done in one settlement.
func (d *Domain) logDone(s *session, done plan.LogDone) {
	for list := range slices.Chunk(done.List, maxDonePerLine) {
		d.metrics.countDecision("tasks done")
		klog.InfoS("tasks done", "term", s.term, "ends", formatDone(list))
	}
}

// formatDone returns the entries TASK#ATTEMPT@WORKER/BORN:END+AGE of a list.
func formatDone(list []plan.DoneTask) string {
	var text []byte
	for i, t := range list {
		if i > 0 {
			text = append(text, ' ')
		}
		text = fmt.Appendf(text, "%s#%d@%s/%d:%d+%d", t.Task, t.Attempt, t.Worker.ID, int64(t.Worker.StartedAt), t.EndNumber, int64(t.Age))
	}
	return string(text)
}

// reportPlanStats logs the planner's statistics and sets the metrics, if this instance leads. With
// steps waiting, a high used share of the workers' CPU capacity means that the domain is full, and a
// low one that the leader cannot keep up.
func (d *Domain) reportPlanStats() {
	d.mu.Lock()
	s := d.session
	if s == nil {
		d.mu.Unlock()
		return
	}
	stats, calls, tombstones := s.planner.Stats(), s.countWorkerCalls(), d.state.Tombstones()
	d.mu.Unlock()
	d.metrics.tombstones.Set(float64(tombstones))
	d.metrics.setPlanGauges(stats)
	teams := d.metrics.teams.set(stats.Teams)
	d.metrics.setWorkerCalls(calls, s.budget)
	klog.InfoS("plan", "term", s.term, "workers", stats.Workers, "open", stats.SchedulableWorkers, "room", stats.SchedulableCapacity.String(), "used", stats.Used.String(),
		"held", stats.Reserved.String(), "onTime", stats.WaitingSteps[0], "late", stats.WaitingSteps[1], "rest", stats.WaitingSteps[2], "asks", stats.TicketCalls,
		"busyCallers", stats.BusyCallers, "isolated", stats.IsolatedWorkers, "suspects", stats.WaitingSuspects, "looks", stats.WorkersConsidered, "holds", calls.holds, "orders", calls.orders, "ordersWaiting", calls.waitingOrders, "processor", cpuTime().Milliseconds(),
		"teams", len(stats.Teams), "teamsWaiting", teams.waiting, "atCap", teams.waitingForCap, "beyondShare", teams.beyondShare, "fullFor", int64(stats.FullFor))
}

// cpuTime returns the user and system CPU time that this process has used so far, or 0 if the system
// call fails.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
