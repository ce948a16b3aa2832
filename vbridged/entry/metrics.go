package entry

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the collectors of an Entry.
type Metrics struct {
	requests *prometheus.CounterVec
	renewals *prometheus.CounterVec
	attempts prometheus.Counter
	running  prometheus.Gauge
	waiting  prometheus.Gauge
	waitTime *prometheus.HistogramVec
}

// NewMetrics returns the collectors, registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillabridge_requests_total", Help: "Requests by class and outcome.",
		}, []string{"class", "outcome"}),
		renewals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillabridge_permit_renewals_total", Help: "Renewals of permits by result.",
		}, []string{"result"}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "vanillabridge_request_attempts_total", Help: "Attempts towards backend servers.",
		}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "vanillabridge_requests_running", Help: "Requests that hold a permit.",
		}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "vanillabridge_requests_waiting", Help: "Requests that wait for a permit.",
		}),
		waitTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vanillabridge_request_wait_seconds", Help: "Time from acceptance to the first permit.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 4, 9),
		}, []string{"class"}),
	}
	r.MustRegister(m.requests, m.renewals, m.attempts, m.running, m.waiting, m.waitTime)
	return m
}
