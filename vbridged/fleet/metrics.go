package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/outbox"
	"vanillabridge/core/plan"
)

// Metrics holds the Prometheus metrics of an instance of a domain.
type Metrics struct {
	requests          *prometheus.HistogramVec
	orders            *prometheus.HistogramVec
	ticketCalls       *prometheus.HistogramVec
	holds             *prometheus.CounterVec
	decisions         *prometheus.CounterVec
	refusals          *prometheus.CounterVec
	isLeader          prometheus.Gauge
	term              prometheus.Gauge
	waitingSteps      *prometheus.GaugeVec
	cpuCapacity       *prometheus.GaugeVec
	isolatedWorkers   prometheus.Gauge
	waitingSuspects   prometheus.Gauge
	workersConsidered prometheus.Gauge
	workerCalls       *prometheus.GaugeVec
	workerCallLimit   *prometheus.GaugeVec
	runTimeRatio      *prometheus.HistogramVec
	// runTimeQueues holds the queues that have series of runTimeRatio.
	runTimeQueues map[string]bool
	teams         teamMetrics
	relayWorkers  *prometheus.GaugeVec
	relayBatches  *prometheus.GaugeVec
	relayAge      *prometheus.GaugeVec

	tombstones        prometheus.Gauge
	lateSubmissions   prometheus.Counter
	droppedTombstones prometheus.Counter
}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := []float64{.001, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
		r.MustRegister(h)
		return h
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		r.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
		r.MustRegister(g)
		return g
	}
	total := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		r.MustRegister(c)
		return c
	}
	gauges := func(name, help, label string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{label})
		r.MustRegister(g)
		return g
	}
	runTimeRatio := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "vb_run_time_ratio", Help: "Run times of finished steps divided by what was expected when their jobs were accepted, at the leader.",
		Buckets: []float64{.1, .2, .33, .5, .67, .8, .91, 1, 1.1, 1.25, 1.5, 2, 3, 5, 10},
	}, []string{"queue", "by"})
	r.MustRegister(runTimeRatio)
	return &Metrics{
		runTimeRatio:      runTimeRatio,
		runTimeQueues:     map[string]bool{},
		teams:             newTeamMetrics(r),
		requests:          histogram("vb_request_seconds", "Time to answer callers' requests, in seconds.", "kind", "status"),
		orders:            histogram("vb_order_seconds", "Time of orders to workers, in seconds.", "kind", "verdict"),
		ticketCalls:       histogram("vb_ticket_seconds", "Time of ticket calls, in seconds.", "result"),
		holds:             counter("vb_holds_total", "Holds sent to workers.", "result"),
		decisions:         counter("vb_decisions_total", "Decisions of the plan.", "event"),
		refusals:          counter("vb_refused_keys_total", "Requests that the leader refused because of their key.", "reason"),
		isLeader:          gauge("vb_leads", "1 while this instance leads the domain."),
		term:              gauge("vb_term", "Newest known term of the domain."),
		waitingSteps:      gauges("vb_waiting_steps", "Steps with waiting tasks, at the leader, by whether they can still end on time.", "hope"),
		cpuCapacity:       gauges("vb_room_cores", "Processor room of open workers in cores, at the leader.", "state"),
		isolatedWorkers:   gauge("vb_isolated_workers", "Workers kept for tasks that may have crashed a worker, at the leader."),
		waitingSuspects:   gauge("vb_waiting_suspects", "Waiting tasks that may have crashed a worker, at the leader."),
		workersConsidered: gauge("vb_looks", "How often the plan of this term considered a worker for a step."),
		workerCalls:       gauges("vb_worker_calls", "Calls to workers at the leader: holds and orders in progress, and orders that wait for their turn.", "kind"),
		workerCallLimit:   gauges("vb_worker_call_limit", "Limit of the holds and orders in progress, from the descriptors of the process.", "kind"),
		relayWorkers:      gauges("vb_relay_workers", "Workers whose calls a core carries, at the leader.", "relay"),
		relayBatches:      gauges("vb_relay_batches", "Batches of a relay that the leader of this term has got.", "relay"),
		relayAge:          gauges("vb_relay_age_seconds", "Time since the newest batch of a relay, at the leader.", "relay"),
		tombstones:        gauge("vb_tombstones", "Recorded cancellations of unknown jobs, at the leader."),
		lateSubmissions:   total("vb_late_submissions_total", "Submissions that arrived after their cancellation, at the leader."),
		droppedTombstones: total("vb_dropped_tombstones_total", "Recorded cancellations of unknown jobs that were dropped for want of room."),
	}
}

func (m *Metrics) observeRequest(k Kind, s Status, took time.Duration) {
	m.requests.WithLabelValues(string(k), string(s)).Observe(took.Seconds())
}

func (m *Metrics) observeOrder(kind string, v plan.Verdict, took time.Duration) {
	m.orders.WithLabelValues(kind, v.String()).Observe(took.Seconds())
}

func (m *Metrics) observeTicketCall(ok bool, took time.Duration) {
	m.ticketCalls.WithLabelValues(resultLabel(ok)).Observe(took.Seconds())
}

func (m *Metrics) countHold(ok bool) { m.holds.WithLabelValues(resultLabel(ok)).Inc() }

func (m *Metrics) countDecision(event string) { m.decisions.WithLabelValues(event).Inc() }

func (m *Metrics) countRefusal(reason string) { m.refusals.WithLabelValues(reason).Inc() }

func (m *Metrics) setPlanGauges(stats plan.Stats) {
	for i, hope := range []string{"on time", "late", "rest"} {
		m.waitingSteps.WithLabelValues(hope).Set(float64(stats.WaitingSteps[i]))
	}
	const millicoresPerCore = 1000
	m.cpuCapacity.WithLabelValues("all").Set(float64(stats.SchedulableCapacity.CPU) / millicoresPerCore)
	m.cpuCapacity.WithLabelValues("used").Set(float64(stats.Used.CPU) / millicoresPerCore)
	m.cpuCapacity.WithLabelValues("held").Set(float64(stats.Reserved.CPU) / millicoresPerCore)
	m.isolatedWorkers.Set(float64(stats.IsolatedWorkers))
	m.waitingSuspects.Set(float64(stats.WaitingSuspects))
	m.workersConsidered.Set(float64(stats.WorkersConsidered))
}

func (m *Metrics) setWorkerCalls(c workerCalls, limit outbox.Budget) {
	m.workerCalls.WithLabelValues("hold").Set(float64(c.holds))
	m.workerCalls.WithLabelValues("order").Set(float64(c.orders))
	m.workerCalls.WithLabelValues("waiting").Set(float64(c.waitingOrders))
	m.workerCallLimit.WithLabelValues("hold").Set(float64(limit.Holds))
	m.workerCallLimit.WithLabelValues("order").Set(float64(limit.Orders))
}

// maxRunTimeQueues bounds the queues with series of their own: a configuration may have thousands.
const maxRunTimeQueues = 50

// observeRunTime observes the run time of a finished step against its declared estimate and against the forecast. The
// caller holds the mutex of the domain.
func (m *Metrics) observeRunTime(f plan.Forecast) {
	if f.Actual == 0 {
		return
	}
	queue := f.Queue
	if !m.runTimeQueues[queue] {
		if len(m.runTimeQueues) >= maxRunTimeQueues {
			queue = "other"
		} else {
			m.runTimeQueues[queue] = true
		}
	}
	if f.Declared > 0 {
		m.runTimeRatio.WithLabelValues(queue, "declared").Observe(float64(f.Actual) / float64(f.Declared))
	}
	m.runTimeRatio.WithLabelValues(queue, "learned").Observe(float64(f.Actual) / float64(max(f.Expected, 1)))
}

// relayStats describes a relay at the leader.
type relayStats struct {
	workers, batches int
	age              clock.Millis // or negative if none has come
}

// setRelays replaces the series of all relays, so that there are none of cores that are gone.
func (m *Metrics) setRelays(list map[model.Instance]relayStats) {
	m.relayWorkers.Reset()
	m.relayBatches.Reset()
	m.relayAge.Reset()
	for name, r := range list {
		m.relayWorkers.WithLabelValues(string(name)).Set(float64(r.workers))
		if r.age >= 0 {
			m.relayBatches.WithLabelValues(string(name)).Set(float64(r.batches))
			m.relayAge.WithLabelValues(string(name)).Set(r.age.Duration().Seconds())
		}
	}
}

func (m *Metrics) setRole(leads bool, term uint64) {
	m.isLeader.Set(0)
	if leads {
		m.isLeader.Set(1)
	}
	m.term.Set(float64(term))
}

func resultLabel(ok bool) string {
	if ok {
		return "answered"
	}
	return "failed"
}
