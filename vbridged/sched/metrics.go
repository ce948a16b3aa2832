package sched

import (
	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Metrics holds the Prometheus metrics of a zone's scheduler.
type Metrics struct {
	WaitingTime      *prometheus.HistogramVec // seconds from acceptance or requeueing to start, by kind and urgency class
	Placements       prometheus.Counter
	TaskEnds         *prometheus.CounterVec
	Orders           *prometheus.CounterVec
	JobsRefused      prometheus.Counter
	WorkersLost      prometheus.Counter
	WorkersSuspended prometheus.Counter
	RoundDuration    prometheus.Histogram
	Workers          prometheus.Gauge
	WorkerUsed       *prometheus.GaugeVec
	WorkerCapacity   *prometheus.GaugeVec
}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		WaitingTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "vanillabridge_task_waiting_seconds",
			Help:    "Time from the acceptance or requeueing of a task to its start.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 16),
		}, []string{"kind", "class"}),
		Placements:       newCounter("placements_total", "Committed assignments of tasks to workers."),
		TaskEnds:         newCounterVec("task_ends_total", "Ends of tasks reported by workers.", "end"),
		Orders:           newCounterVec("orders_total", "Orders to workers to throttle, checkpoint or stop a task.", "command"),
		JobsRefused:      newCounter("jobs_refused_total", "Jobs refused early as not run."),
		WorkersLost:      newCounter("workers_lost_total", "Workers given up after the end of their lease."),
		WorkersSuspended: newCounter("workers_suspended_total", "Suspensions of workers that fail what they start."),
		RoundDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "vanillabridge_round_seconds",
			Help:    "Duration of one timer round of the scheduler.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12),
		}),
		Workers:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "vanillabridge_workers", Help: "Workers that report to this leader."}),
		WorkerUsed:     newGaugeVec("worker_used", "Reported use over all workers, in millicores, MiB or devices."),
		WorkerCapacity: newGaugeVec("worker_capacity", "Size of all workers, in millicores, MiB or devices."),
	}
	r.MustRegister(m.WaitingTime, m.Placements, m.TaskEnds, m.Orders, m.JobsRefused, m.WorkersLost, m.WorkersSuspended, m.RoundDuration, m.Workers, m.WorkerUsed, m.WorkerCapacity)
	return m
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "vanillabridge_" + name, Help: help})
}

func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "vanillabridge_" + name, Help: help}, []string{label})
}

func newGaugeVec(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "vanillabridge_" + name, Help: help}, []string{"resource"})
}

func (m *Metrics) observeWaiting(w model.Work, d clock.Millis) {
	m.WaitingTime.WithLabelValues(workKind(w), w.Common().Urgency.String()).Observe(d.Duration().Seconds())
}

func workKind(w model.Work) string {
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

// updateGauges sets the gauges from the last reports of the workers.
func (l *leaderState) updateGauges() {
	var used, capacity model.Size
	for _, w := range l.workers {
		used = used.Plus(w.usage)
		capacity = capacity.Plus(w.capacity)
	}
	l.runner.workerCount.Store(int64(len(l.workers)))
	l.options.Metrics.Workers.Set(float64(len(l.workers)))
	setSize(l.options.Metrics.WorkerUsed, used)
	setSize(l.options.Metrics.WorkerCapacity, capacity)
}

func setSize(g *prometheus.GaugeVec, s model.Size) {
	g.WithLabelValues("cpu").Set(float64(s.CPU))
	g.WithLabelValues("memory").Set(float64(s.Memory))
	g.WithLabelValues("accel").Set(float64(s.Accel))
}
