package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/plan"
)

// Metrics counts what an instance of a domain does.
type Metrics struct {
	requests *prometheus.HistogramVec
	orders   *prometheus.HistogramVec
	asks     *prometheus.HistogramVec
	holds    *prometheus.CounterVec
	notes    *prometheus.CounterVec
	leads    prometheus.Gauge
	terms    prometheus.Gauge
	waiting  *prometheus.GaugeVec
	room     *prometheus.GaugeVec
	looks    prometheus.Gauge
}

// NewMetrics registers the metrics.
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
	gauges := func(name, help, label string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{label})
		r.MustRegister(g)
		return g
	}
	return &Metrics{
		requests: histogram("vb_request_seconds", "Time to answer callers' requests, in seconds.", "kind", "status"),
		orders:   histogram("vb_order_seconds", "Time of orders to workers, in seconds.", "kind", "verdict"),
		asks:     histogram("vb_ticket_seconds", "Time of ticket calls, in seconds.", "result"),
		holds:    counter("vb_holds_total", "Holds sent to workers.", "result"),
		notes:    counter("vb_decisions_total", "Decisions of the plan.", "event"),
		leads:    gauge("vb_leads", "1 while this instance leads the domain."),
		terms:    gauge("vb_term", "Newest known term of the domain."),
		waiting:  gauges("vb_waiting_steps", "Steps with waiting tasks, at the leader, by whether they can still end on time.", "hope"),
		room:     gauges("vb_room_cores", "Processor room of open workers in cores, at the leader.", "state"),
		looks:    gauge("vb_looks", "How often the plan of this term considered a worker for a step."),
	}
}

func (m *Metrics) request(k Kind, s Status, took time.Duration) {
	m.requests.WithLabelValues(string(k), string(s)).Observe(took.Seconds())
}

func (m *Metrics) order(kind string, v plan.Verdict, took time.Duration) {
	m.orders.WithLabelValues(kind, v.String()).Observe(took.Seconds())
}

func (m *Metrics) ask(ok bool, took time.Duration) {
	m.asks.WithLabelValues(word(ok)).Observe(took.Seconds())
}

func (m *Metrics) hold(ok bool) { m.holds.WithLabelValues(word(ok)).Inc() }

func (m *Metrics) note(event string) { m.notes.WithLabelValues(event).Inc() }

func (m *Metrics) gauge(g plan.Gauge) {
	for i, hope := range []string{"on time", "late", "rest"} {
		m.waiting.WithLabelValues(hope).Set(float64(g.Waiting[i]))
	}
	const perCore = 1000 // millicores
	m.room.WithLabelValues("all").Set(float64(g.Room.CPU) / perCore)
	m.room.WithLabelValues("used").Set(float64(g.Used.CPU) / perCore)
	m.room.WithLabelValues("held").Set(float64(g.Held.CPU) / perCore)
	m.looks.Set(float64(g.Looks))
}

func (m *Metrics) role(leads bool, term uint64) {
	m.leads.Set(0)
	if leads {
		m.leads.Set(1)
	}
	m.terms.Set(float64(term))
}

func word(ok bool) string {
	if ok {
		return "answered"
	}
	return "failed"
}
