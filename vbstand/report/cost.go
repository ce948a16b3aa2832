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

// Names in the metrics of the daemon.
const (
	metricCPU   = "process_cpu_seconds_total"
	metricBytes = "vanillabridge_peer_bytes_total"
	labelCross  = "across"
	labelWay    = "direction"
)

// cost is what the instances used together.
type cost struct {
	files int
	cpu   float64 // seconds
	local float64 // bytes between instances of one region
	cross float64 // bytes between regions
}

// printCost prints the control cost between the snapshots of metrics at the begin, if there
// are any, and at the end.
func printCost(w io.Writer, dir string, lines []record.Line) error {
	begin, err := readCosts(dir, "begin")
	if err != nil {
		return err
	}
	end, err := readCosts(dir, "end")
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
	cpu, local, cross := end.cpu-begin.cpu, end.local-begin.local, end.cross-begin.cross
	t := table(w)
	_, _ = fmt.Fprintf(t, "control cost of %d instances\ttotal\tper task start (%d)\tper request (%d)\n", end.files, starts, sends)
	row := func(name, unit string, x float64) {
		_, _ = fmt.Fprintf(t, "%s\t%.4g %s\t%.4g\t%.4g\n", name, x, unit, x/float64(max(starts, 1)), x/float64(max(sends, 1)))
	}
	row("processor time", "s", cpu)
	row("bytes within regions", "B", local)
	row("bytes between regions", "B", cross)
	return t.Flush()
}

func readCosts(dir, label string) (cost, error) {
	names, err := filepath.Glob(filepath.Join(dir, "metrics-"+label+"-*.txt"))
	if err != nil {
		return cost{}, fmt.Errorf("list metrics: %w", err)
	}
	total := cost{files: len(names)}
	for _, name := range names {
		if err := total.read(name); err != nil {
			return cost{}, err
		}
	}
	return total, nil
}

func (c *cost) read(name string) error {
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
		c.cpu += m.GetCounter().GetValue()
	}
	for _, m := range families[metricBytes].GetMetric() {
		if label(m, labelWay) != "sent" {
			continue // what one instance receives, another has sent
		}
		if label(m, labelCross) == "true" {
			c.cross += m.GetCounter().GetValue()
		} else {
			c.local += m.GetCounter().GetValue()
		}
	}
	return nil
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}
