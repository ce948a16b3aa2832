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
	return &Metrics{
		requests: histogram("vb_request_seconds", "Time to answer callers' requests, in seconds.", "kind", "status"),
		orders:   histogram("vb_order_seconds", "Time of orders to workers, in seconds.", "kind", "verdict"),
		asks:     histogram("vb_ticket_seconds", "Time of ticket calls, in seconds.", "result"),
		holds:    counter("vb_holds_total", "Holds sent to workers.", "result"),
		notes:    counter("vb_decisions_total", "Decisions of the plan.", "event"),
		leads:    gauge("vb_leads", "1 while this instance leads the domain."),
		terms:    gauge("vb_term", "Newest known term of the domain."),
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
