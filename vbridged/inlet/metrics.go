package inlet

import "github.com/prometheus/client_golang/prometheus"

// Causes for which connections are turned away.
const (
	causeConns  = "connections"
	causeMemory = "memory"
)

// Metrics holds the Prometheus metrics of the inlets of a process.
type Metrics struct {
	conns, bytes *prometheus.GaugeVec
	turnedAway   *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		conns:      prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "vb_inlet_connections", Help: "Open connections of clients."}, []string{"listener"}),
		bytes:      prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "vb_inlet_bytes", Help: "Bytes of unfinished large requests."}, []string{"listener"}),
		turnedAway: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "vb_inlet_turned_away_total", Help: "Connections closed to keep within the limits, by cause."}, []string{"listener", "cause"}),
	}
	r.MustRegister(m.conns, m.bytes, m.turnedAway)
	return m
}

// listenerMetrics holds the metrics of one listener.
type listenerMetrics struct {
	conns, bytes prometheus.Gauge
	turnedAway   *prometheus.CounterVec
}

func (m *Metrics) of(listener string) listenerMetrics {
	labels := prometheus.Labels{"listener": listener}
	return listenerMetrics{m.conns.With(labels), m.bytes.With(labels), m.turnedAway.MustCurryWith(labels)}
}
