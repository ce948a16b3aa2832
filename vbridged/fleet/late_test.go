package fleet_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
	"vanillabridge/vbridged/fleet"
)

// announced returns an announcement of worker w with a number and a capacity.
func announced(seq uint64, cpu model.Millicores) flow.Worker {
	return flow.Worker{ID: "w", StartedAt: 5, Pool: "p", Address: "127.0.0.1:1", Capacity: model.Size{CPU: cpu}, Seq: seq}
}

// Guards against an announcement that was held up and brings back a capacity that has shrunk since: the newest
// announcements changed nothing and are not in the state, so the late one looked newer than the state (LIMIT).
func TestLateAnnouncementChangesNothing(t *testing.T) {
	d, _ := startDomain(t)
	defer stopDomain(d)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, w := range []flow.Worker{announced(1, 16_000), announced(2, 8_000), announced(4, 8_000), announced(3, 16_000)} {
		if _, err := d.RecordWorker(ctx, w); err != nil {
			t.Fatal(err)
		}
	}
	if got := d.WorkerCapacity("w").CPU; got != 8_000 {
		t.Fatalf("capacity after a late announcement = %d, want 8000", got)
	}
}

// Guards against a core without a leader that acknowledges an announcement as unchanged: the others may have
// committed another capacity in the meantime, and the worker would not tell them.
func TestAnnouncementIsRefusedWithoutLeader(t *testing.T) {
	l, addr := listen(t)
	_, other := listen(t)
	o := newOptions(addr, addr, other)
	o.DataDir = t.TempDir()
	d, err := fleet.Open(o, fleet.NewMetrics(prometheus.NewRegistry()))
	if err != nil {
		t.Fatal(err)
	}
	d.Serve(l)
	defer stopDomain(d)
	record := func(seq uint64) error {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := d.RecordWorker(ctx, announced(seq, 8_000))
		return err
	}
	// Serve forgets the announcements of unknown workers once when it starts; the second try is later.
	for range 2 {
		if err := record(2); err == nil {
			t.Fatal("announcement was acknowledged by a core that cannot commit it")
		}
	}
	if err := record(1); !errors.Is(err, fault.ErrUnavailable) {
		t.Fatalf("late announcement without a leader: %v, want %v", err, fault.ErrUnavailable)
	}
}
