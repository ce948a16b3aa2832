package report

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"vanillabridge/vbstand/record"
)

// Names of the daemon's metrics and their labels.
const (
	metricCPU          = "process_cpu_seconds_total"
	metricBytes        = "vanillabridge_peer_bytes_total"
	labelAcrossRegions = "across"
	labelDirection     = "direction"
)

// controlCost is the sum of the resources that the instances used.
type controlCost struct {
	instances        int
	cpuSeconds       float64 // processor time
	intraRegionBytes float64 // sent between instances of one region
	interRegionBytes float64 // sent between regions
}

// printCost prints the control cost from the metrics snapshots labelled begin, which may be missing,
// to those labelled end.
func printCost(w io.Writer, dir string, lines []record.Line) error {
	begin, err := readControlCost(dir, "begin")
	if err != nil {
		return err
	}
	end, err := readControlCost(dir, "end")
	if err != nil {
		return err
	}
	starts, sends := 0, 0
	for _, l := range lines {
		switch {
		case l.Task != nil && l.Task.Step == record.TaskStart:
			starts++
		case l.Send != nil:
			sends++
		}
	}
	cpu, intraRegion, interRegion := end.cpuSeconds-begin.cpuSeconds, end.intraRegionBytes-begin.intraRegionBytes, end.interRegionBytes-begin.interRegionBytes
	t := newTable(w)
	_, _ = fmt.Fprintf(t, "control cost of %d instances\ttotal\tper task start (%d)\tper request (%d)\n", end.instances, starts, sends)
	row := func(name, unit string, x float64) {
		_, _ = fmt.Fprintf(t, "%s\t%.4g %s\t%.4g\t%.4g\n", name, x, unit, x/float64(max(starts, 1)), x/float64(max(sends, 1)))
	}
	row("processor time", "s", cpu)
	row("bytes within regions", "B", intraRegion)
	row("bytes between regions", "B", interRegion)
	return t.Flush()
}

// readControlCost sums the metrics snapshots in dir that have the label.
func readControlCost(dir, label string) (controlCost, error) {
	names, err := filepath.Glob(filepath.Join(dir, "metrics-"+label+"-*.txt"))
	if err != nil {
		return controlCost{}, fmt.Errorf("list metrics: %w", err)
	}
	total := controlCost{instances: len(names)}
	for _, name := range names {
		if err := total.addFile(name); err != nil {
			return controlCost{}, err
		}
	}
	return total, nil
}

func (c *controlCost) addFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	defer func() { _ = f.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(f)
	if err != nil {
		return fmt.Errorf("parse metrics %s: %w", name, err)
	}
	for _, m := range families[metricCPU].GetMetric() {
		c.cpuSeconds += m.GetCounter().GetValue()
	}
	for _, m := range families[metricBytes].GetMetric() {
		if labelValue(m, labelDirection) != "sent" {
			continue // received bytes are counted by the sender
		}
		if labelValue(m, labelAcrossRegions) == "true" {
			c.interRegionBytes += m.GetCounter().GetValue()
		} else {
			c.intraRegionBytes += m.GetCounter().GetValue()
		}
	}
	return nil
}

func labelValue(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}
