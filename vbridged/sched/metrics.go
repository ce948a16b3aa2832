package sched

import (
	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Metrics are the metrics of a zone's scheduler.
type Metrics struct {
	Waiting   *prometheus.HistogramVec // seconds from acceptance to start, by kind and class
	Placed    prometheus.Counter
	Ended     *prometheus.CounterVec
	Orders    *prometheus.CounterVec
	Refused   prometheus.Counter
	Lost      prometheus.Counter
	Suspended prometheus.Counter
	Round     prometheus.Histogram
	Workers   prometheus.Gauge
	Used      *prometheus.GaugeVec
	Capacity  *prometheus.GaugeVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Waiting: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "vanillabridge_task_waiting_seconds",
			Help:    "Time from the acceptance or requeueing of a task to its start.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 16),
		}, []string{"kind", "class"}),
		Placed:    counter("placements_total", "Committed assignments of tasks to workers."),
		Ended:     counters("task_ends_total", "Ends of tasks reported by workers.", "end"),
		Orders:    counters("orders_total", "Orders to workers to throttle, checkpoint or stop a task.", "command"),
		Refused:   counter("jobs_refused_total", "Jobs refused early as not run."),
		Lost:      counter("workers_lost_total", "Workers given up after the end of their lease."),
		Suspended: counter("workers_suspended_total", "Suspensions of workers that fail what they start."),
		Round: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "vanillabridge_round_seconds",
			Help:    "Duration of one timer round of the scheduler.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12),
		}),
		Workers:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "vanillabridge_workers", Help: "Workers that report to this leader."}),
		Used:     gauges("worker_used", "Reported use over all workers, in millicores, MiB or devices."),
		Capacity: gauges("worker_capacity", "Size of all workers, in millicores, MiB or devices."),
	}
	r.MustRegister(m.Waiting, m.Placed, m.Ended, m.Orders, m.Refused, m.Lost, m.Suspended, m.Round, m.Workers, m.Used, m.Capacity)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "vanillabridge_" + name, Help: help})
}

func counters(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "vanillabridge_" + name, Help: help}, []string{label})
}

func gauges(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "vanillabridge_" + name, Help: help}, []string{"resource"})
}

func (m *Metrics) waited(w model.Work, d clock.Millis) {
	m.Waiting.WithLabelValues(kind(w), w.Common().Urgency.String()).Observe(d.Std().Seconds())
}

func kind(w model.Work) string {
	switch w.(type) {
	case model.Service:
		return "service"
	case model.Batch:
		return "batch"
	case model.Gang:
		return "gang"
	default:
		return "unknown"
	}
}

// measure sets the gauges from the last reports of the workers.
func (l *lead) measure() {
	var used, size model.Size
	for _, w := range l.workers {
		used = used.Plus(w.used)
		size = size.Plus(w.size)
	}
	l.runner.workers.Store(int64(len(l.workers)))
	l.options.Metrics.Workers.Set(float64(len(l.workers)))
	setSize(l.options.Metrics.Used, used)
	setSize(l.options.Metrics.Capacity, size)
}

func setSize(g *prometheus.GaugeVec, s model.Size) {
	g.WithLabelValues("cpu").Set(float64(s.CPU))
	g.WithLabelValues("memory").Set(float64(s.Memory))
	g.WithLabelValues("accel").Set(float64(s.Accel))
}
