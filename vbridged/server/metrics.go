package server

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

var (
	peerBytesDesc = prometheus.NewDesc("vanillabridge_peer_bytes_total",
		"Bytes exchanged with other instances, by direction and whether they cross regions.",
		[]string{"direction", "across"}, nil)
	sentBytesDesc = prometheus.NewDesc("vanillabridge_peer_sent_bytes_total",
		"Bytes of message bodies sent to other instances, by method and whether they cross regions.",
		[]string{"method", "across"}, nil)
	sentMessagesDesc = prometheus.NewDesc("vanillabridge_peer_messages_total",
		"Messages sent to other instances, by method and whether they cross regions.",
		[]string{"method", "across"}, nil)
	versionDesc = prometheus.NewDesc("vanillabridge_config_version",
		"Version of the configuration in force on this instance.", nil, nil)
	leaderDesc = prometheus.NewDesc("vanillabridge_group_leader",
		"Whether this instance leads a group.", []string{"group"}, nil)
	appliedDesc = prometheus.NewDesc("vanillabridge_group_applied",
		"Index of the last log entry that was applied.", []string{"group"}, nil)
)

// collector exports counters that other parts maintain as metrics.
type collector struct{ server *Server }

// Describe sends the descriptors of all metrics.
func (collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{peerBytesDesc, sentBytesDesc, sentMessagesDesc, versionDesc, leaderDesc, appliedDesc} {
		ch <- d
	}
}

// Collect sends the current values of all metrics.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	traffic := c.server.transport.Traffic()
	sameRegion, crossRegion := traffic.WireTraffic()
	sendCounter(ch, peerBytesDesc, sameRegion.Sent, "sent", "false")
	sendCounter(ch, peerBytesDesc, sameRegion.Received, "received", "false")
	sendCounter(ch, peerBytesDesc, crossRegion.Sent, "sent", "true")
	sendCounter(ch, peerBytesDesc, crossRegion.Received, "received", "true")
	for _, m := range traffic.TrafficByMethod() {
		crossesRegion := strconv.FormatBool(m.CrossRegion)
		sendCounter(ch, sentBytesDesc, m.Traffic.Sent, m.Method, crossesRegion)
		sendCounter(ch, sentMessagesDesc, m.Traffic.Messages, m.Method, crossesRegion)
	}
	sendGauge(ch, versionDesc, float64(c.server.config.Load().version))
	for _, g := range c.server.groups() {
		st := g.Status()
		isLeader := 0.0
		if st.IsLeader {
			isLeader = 1
		}
		sendGauge(ch, leaderDesc, isLeader, st.Group)
		sendGauge(ch, appliedDesc, float64(st.AppliedIndex), st.Group)
	}
}

func sendCounter(ch chan<- prometheus.Metric, d *prometheus.Desc, v int64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

func sendGauge(ch chan<- prometheus.Metric, d *prometheus.Desc, v float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (s *Server) registerMetrics() {
	s.registry.MustRegister(collector{s})
	s.registry.MustRegister(collectors.NewGoCollector())
	s.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}
