package fleet_test

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/golden"
	"vanillabridge/core/plan"
	"vanillabridge/vbridged/fleet"
)

// Guards against log lines on starts, stops and ends that don't name the process of the worker.
func TestLogLinesNameProcesses(t *testing.T) {
	var lines bytes.Buffer
	withoutTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(&lines, &slog.HandlerOptions{ReplaceAttr: withoutTime})))
	defer klog.ClearLogger()
	worker := flow.Incarnation{ID: "i-7f3a91c2", StartedAt: 1796583114650}
	task := flow.Task{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}
	known := plan.ProcessState{LeaseEnd: 486_000, Clock: 482_113, ListedEnd: 58, AckedEnd: 57}
	fleet.LogDecisions(fleet.NewMetrics(prometheus.NewRegistry()), 7,
		plan.LogEvent{Event: "step placed", Job: task.Job, Task: task.StepName(), Attempt: 1, Cause: "17@i-7f3a91c2 ", Starts: []clock.Millis{worker.StartedAt}},
		plan.LogEvent{Event: "task stopped", Job: task.Job, Task: task.String(), Attempt: 1, Worker: worker, Known: known, Cause: "job is over", Age: 900},
		plan.LogEvent{Event: "task ended", Job: task.Job, Task: task.String(), Attempt: 1, Worker: worker, Found: worker.StartedAt + 5000, Known: known, EndNumber: 58, Cause: "failed", Age: 950},
		plan.LogDone{List: []plan.DoneTask{{Task: task, Attempt: 2, Worker: worker, EndNumber: 59, Age: 1240}}},
	)
	fleet.LogOrder(fleet.NewMetrics(prometheus.NewRegistry()), 7, plan.Start{
		Worker: flow.Worker{ID: worker.ID, StartedAt: worker.StartedAt}, Task: task, Attempt: 3, Expires: 483_113,
	}, plan.VerdictUnknown)
	golden.Check(t, "testdata/log.golden", lines.String())
}
