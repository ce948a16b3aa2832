package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbridged/admin"
)

// syncService replies to a sync as a zone leader does when nothing has changed.
type syncService struct{ admin.Service }

// Sync returns an empty update.
func (syncService) Sync(_ context.Context, r proto.SyncRequest) (proto.SyncReply, error) {
	return proto.SyncReply{Epoch: 1, Seq: r.Seq, Lease: 10000, TasksUnchanged: true}, nil
}

// BenchmarkSync measures one worker sync over HTTP on loopback, client and server together, by the
// number of tasks that the worker holds.
func BenchmarkSync(b *testing.B) {
	for _, n := range []int{0, 5, 20, 80} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			none := http.NotFoundHandler()
			s := httptest.NewServer(admin.New(admin.Options{Service: syncService{}, Entry: none, Announce: none, Metrics: prometheus.NewRegistry()}))
			defer s.Close()
			request := proto.SyncRequest{Worker: "worker-12345", Incarnation: 1 << 60, Zone: "zone-12-a", Rack: "rack-7", Epoch: 9, Ends: []proto.TaskEnd{}}
			for i := range n {
				request.Held = append(request.Held, proto.HeldTask{
					Task: model.TaskID{Job: "nightly-report/2026-12-04", Index: i}, Attempt: 1,
					Phase: proto.PhaseRunning, Usage: model.Size{CPU: 900, Memory: 512},
				})
			}
			var sent, received int
			for b.Loop() {
				sent, received = syncOnce(b, s.URL, request)
			}
			b.ReportMetric(float64(sent+received), "bodyB/sync")
		})
	}
}

func syncOnce(b *testing.B, url string, r proto.SyncRequest) (sent, received int) {
	body, err := json.Marshal(r)
	if err != nil {
		b.Fatal(err)
	}
	resp, err := http.Post(url+"/v1/workers/sync", "application/json", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		b.Fatal(err)
	}
	var reply proto.SyncReply
	if err := json.Unmarshal(answer, &reply); err != nil {
		b.Fatal(err)
	}
	return len(body), len(answer)
}
