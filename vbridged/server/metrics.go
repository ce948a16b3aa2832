package server

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

var (
	wireDesc = prometheus.NewDesc("vanillabridge_peer_bytes_total",
		"Bytes exchanged with other instances, by direction and whether they cross regions.",
		[]string{"direction", "across"}, nil)
	purposeDesc = prometheus.NewDesc("vanillabridge_peer_sent_bytes_total",
		"Bytes of message bodies sent to other instances, by method and whether they cross regions.",
		[]string{"method", "across"}, nil)
	messageDesc = prometheus.NewDesc("vanillabridge_peer_messages_total",
		"Messages sent to other instances, by method and whether they cross regions.",
		[]string{"method", "across"}, nil)
	versionDesc = prometheus.NewDesc("vanillabridge_config_version",
		"Version of the configuration in force on this instance.", nil, nil)
	leaderDesc = prometheus.NewDesc("vanillabridge_group_leader",
		"Whether this instance leads a group.", []string{"group"}, nil)
	appliedDesc = prometheus.NewDesc("vanillabridge_group_applied",
		"Index of the last log entry that was applied.", []string{"group"}, nil)
)

// collector reads counters that other parts keep.
type collector struct{ server *Server }

// Describe lists the metrics.
func (collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{wireDesc, purposeDesc, messageDesc, versionDesc, leaderDesc, appliedDesc} {
		ch <- d
	}
}

// Collect reads the metrics.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	bytes := c.server.net.Bytes()
	local, across := bytes.Wire()
	count(ch, wireDesc, local.Sent, "sent", "false")
	count(ch, wireDesc, local.Received, "received", "false")
	count(ch, wireDesc, across.Sent, "sent", "true")
	count(ch, wireDesc, across.Received, "received", "true")
	for _, p := range bytes.Purposes() {
		crosses := strconv.FormatBool(p.Crosses)
		count(ch, purposeDesc, p.Traffic.Sent, p.Method, crosses)
		count(ch, messageDesc, p.Traffic.Messages, p.Method, crosses)
	}
	gauge(ch, versionDesc, float64(c.server.snapshot.Load().version))
	for _, g := range c.server.groups() {
		st := g.Status()
		leads := 0.0
		if st.IsLeader {
			leads = 1
		}
		gauge(ch, leaderDesc, leads, st.Group)
		gauge(ch, appliedDesc, float64(st.AppliedIndex), st.Group)
	}
}

func count(ch chan<- prometheus.Metric, d *prometheus.Desc, v int64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

func gauge(ch chan<- prometheus.Metric, d *prometheus.Desc, v float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (s *Server) registerMetrics() {
	s.registry.MustRegister(collector{s})
	s.registry.MustRegister(collectors.NewGoCollector())
	s.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}
