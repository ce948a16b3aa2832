package fleet

import (
	"context"
	"errors"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

// perform carries decisions out without blocking. The caller holds mu.
func (d *Domain) perform(s *session, list []plan.Decision) {
	for _, x := range list {
		switch x := x.(type) {
		case plan.Propose:
			d.propose(s, x.Command)
		case plan.Start:
			go d.start(s, x)
		case plan.Stop:
			go d.stop(s, x)
		case plan.Ask:
			go d.ask(s, x)
		case plan.Watch:
			go d.watch(s, x.Worker)
		case plan.Note:
			d.logNote(s, x)
		}
	}
}

// propose appends a command to the log. One that is not appended while this instance still leads
// leaves the plan ahead of the log, so leadership is given up and a new plan starts from the log.
func (d *Domain) propose(s *session, c ledger.Command) {
	data, err := ledger.Encode(c)
	if err != nil {
		klog.ErrorS(err, "command not proposed")
		return
	}
	d.group.Offer(data, func(_ []byte, err error) {
		if err == nil || s.ctx.Err() != nil {
			return
		}
		klog.InfoS("proposal failed", "term", s.term, "error", err.Error())
		if errors.Is(err, fault.ErrNotLeader) || errors.Is(err, fault.ErrStopped) {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, electionTime.Std())
		defer cancel()
		if err := d.group.Handover(ctx); err != nil {
			klog.InfoS("hand-over after a failed proposal failed", "error", err.Error())
		}
	})
}

func (d *Domain) start(s *session, x plan.Start) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout.Std())
	defer cancel()
	from := time.Now()
	v, at := d.o.Workers.Start(ctx, s.term, x)
	d.metrics.order("start", v, time.Since(from))
	logOrder("start", s.term, x.Task.String(), x.Attempt, x.Worker.ID, v, time.Since(from))
	d.stepIn(s, plan.Answered{
		Worker: plan.Life{ID: x.Worker.ID, Born: x.Worker.Born}, Task: x.Task, Attempt: x.Attempt, Verdict: v, Clock: at,
	})
}

func (d *Domain) stop(s *session, x plan.Stop) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout.Std())
	defer cancel()
	from := time.Now()
	v, at := d.o.Workers.Stop(ctx, s.term, x)
	d.metrics.order("stop", v, time.Since(from))
	logOrder("stop", s.term, x.Task.String(), x.Attempt, x.Worker.ID, v, time.Since(from))
	d.stepIn(s, plan.Answered{
		Worker: plan.Life{ID: x.Worker.ID, Born: x.Worker.Born}, Task: x.Task, Attempt: x.Attempt, Stop: true, Verdict: v, Clock: at,
	})
}

// watch sends holds to a worker until its life or the session is over.
func (d *Domain) watch(s *session, l plan.Life) {
	for s.ctx.Err() == nil {
		d.mu.Lock()
		if d.session != s {
			d.mu.Unlock()
			return
		}
		h, wait, ok := s.planner.NextHold(d.now(), l)
		d.mu.Unlock()
		if !ok {
			return
		}
		if wait > 0 {
			sleep(s.ctx, wait)
			continue
		}
		d.hold(s, l, h)
	}
}

func sleep(ctx context.Context, t clock.Millis) {
	timer := time.NewTimer(t.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (d *Domain) hold(s *session, l plan.Life, h plan.Hold) {
	ctx, cancel := context.WithTimeout(s.ctx, (h.Wait + holdSlack).Std())
	defer cancel()
	sent := d.now()
	report, failure, err := d.o.Workers.Hold(ctx, s.term, h)
	d.metrics.hold(err == nil)
	if s.ctx.Err() != nil {
		return
	}
	if err != nil {
		klog.InfoS("hold failed", "worker", l.ID, "term", s.term, "error", err.Error())
		d.stepIn(s, plan.Unreached{Worker: l, Cause: failure})
		return
	}
	report.Worker, report.Sent, report.Got = l, sent, d.now()
	d.stepIn(s, report)
}

// adviseQuery is a ticket call that another instance makes.
type adviseQuery struct {
	_       struct{} `cbor:",toarray"`
	Step    string
	Workers []model.WorkerID
}

func (d *Domain) ask(s *session, x plan.Ask) {
	ctx, cancel := context.WithTimeout(s.ctx, adviseTimeout.Std())
	defer cancel()
	from := time.Now()
	var a Advice
	var err error
	if x.Caller == d.o.Self.Instance {
		a, err = d.o.Tickets.Advise(ctx, x.Task.Phase(), x.Workers)
	} else {
		a, err = call[adviseQuery, Advice](ctx, d.net, x.Caller, methodAdvise, adviseQuery{Step: x.Task.Phase(), Workers: x.Workers})
	}
	d.metrics.ask(err == nil, time.Since(from))
	klog.InfoS("ticket call", "reason", x.Reason, "step", x.Task.Phase(), "job", x.Task.Job, "caller", x.Caller, "asked", len(x.Workers),
		"approved", len(a.Tickets), "took", time.Since(from).Milliseconds(), "term", s.term, "error", text(err))
	d.stepIn(s, plan.Advised{Ask: x, OK: err == nil, Tickets: a.Tickets, Valid: a.Valid})
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return fault.Text(err)
}

// logNote writes a decision of the plan. Age is how old the deciding input was, in milliseconds.
func (d *Domain) logNote(s *session, n plan.Note) {
	d.metrics.note(n.Event)
	klog.InfoS(n.Event, "job", n.Job, "task", n.Task, "attempt", n.Attempt, "worker", n.Worker,
		"cause", n.Cause, "age", int64(n.Age), "term", s.term, "version", d.state.Config().Version)
}

// gauge logs and counts what the plan looks like, if this instance has one. The share of the processor
// room that is used tells a full domain from a leader that is behind.
func (d *Domain) gauge() {
	d.mu.Lock()
	s := d.session
	if s == nil {
		d.mu.Unlock()
		return
	}
	g := s.planner.Gauge()
	d.mu.Unlock()
	d.metrics.gauge(g)
	klog.InfoS("plan", "term", s.term, "workers", g.Workers, "open", g.Open, "room", g.Room.String(), "used", g.Used.String(),
		"held", g.Held.String(), "onTime", g.Waiting[0], "late", g.Waiting[1], "rest", g.Waiting[2], "asks", g.Asks,
		"busyCallers", g.Backlog, "looks", g.Looks, "processor", processorTime().Milliseconds())
}

// processorTime returns the processor time that this process has used so far, or 0 if the system
// doesn't tell.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func logOrder(kind string, term uint64, task string, attempt int, w model.WorkerID, v plan.Verdict, took time.Duration) {
	if v == plan.VerdictDone {
		return // the line of the placement says it; the metrics count it
	}
	klog.InfoS("order", "kind", kind, "task", task, "attempt", attempt, "worker", w, "verdict", v.String(),
		"took", took.Milliseconds(), "term", term)
}
