package fleet_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
)

// Guards against an entry of another writer that is stored, or that is remembered as the newest announcement of a worker:
// later announcements of that worker would count as late (LOST).
func TestAnnouncementsOfOtherWritersChangeNothing(t *testing.T) {
	d, _ := startDomain(t)
	defer stopDomain(d)
	c := newConfig(2)
	pool := c.Pools[0].Name
	configure(t, d, c)
	record := func(w flow.Worker) error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := d.RecordWorker(ctx, w)
		return err
	}
	sound := announced(1, 16_000)
	sound.Pool = pool
	if err := record(sound); err != nil {
		t.Fatal(err)
	}
	for name, malformed := range map[string]struct {
		change func(*flow.Worker)
		want   error
	}{
		"unnamed pool":              {func(w *flow.Worker) { w.ID, w.Pool, w.StartedAt = "x", "else", 9 }, fault.ErrNotFound},
		"unnamed pool, later start": {func(w *flow.Worker) { w.Pool, w.StartedAt = "else", 9 }, fault.ErrNotFound},
		"unnamed pool, same start":  {func(w *flow.Worker) { w.Pool, w.Seq = "else", 9 }, fault.ErrNotFound},
		"start in the far future":   {func(w *flow.Worker) { w.StartedAt = 1 << 60 }, fault.ErrInvalid},
		"huge number":               {func(w *flow.Worker) { w.Seq = 1 << 63 }, fault.ErrInvalid},
		"port out of range":         {func(w *flow.Worker) { w.Address, w.Seq = "127.0.0.1:65536", 9 }, fault.ErrInvalid},
	} {
		w := sound
		malformed.change(&w)
		if err := record(w); !errors.Is(err, malformed.want) {
			t.Errorf("%s: error %v, want %v", name, err, malformed.want)
		}
	}
	next := sound
	next.Seq, next.Capacity.CPU = 2, 8_000
	if err := record(next); err != nil {
		t.Fatal(err)
	}
	if got := d.WorkerCapacity("w").CPU; got != 8_000 {
		t.Errorf("capacity after the worker's next announcement = %d, want 8000", got)
	}
	if d.WorkerCapacity("x") != (flow.Worker{}).Capacity {
		t.Error("the other writer's worker is stored")
	}
	leaving := next
	leaving.Seq, leaving.Leaving = 3, true
	c = newConfig(3)
	c.Pools, c.Queues = []flow.Pool{{Name: "another"}}, nil
	configure(t, d, c)
	if err := record(leaving); err != nil {
		t.Errorf("a known worker of a pool that was removed can't leave: %v", err)
	}
}

// Guards against a worker that is refused because its clock is a little ahead.
func TestAnnouncementOfWorkerWithClockAhead(t *testing.T) {
	w := announced(1, 1000)
	w.StartedAt = 1000 + 5*clock.Minute
	if err := w.Check(1000); err != nil {
		t.Error(err)
	}
}

// Guards against a late leave call of an earlier process under the same identifier: the process that has it now would get no
// work for as long as it lives, and its tasks would start elsewhere once a link that is cut refused connections (TWICE).
func TestLeaveCallOfEarlierProcessChangesNothing(t *testing.T) {
	d, _ := startDomain(t)
	defer stopDomain(d)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	w := announced(1, 16_000)
	for _, step := range []struct {
		leaving, left bool
	}{{false, false}, {true, true}} {
		w.Seq, w.Leaving = w.Seq+1, step.leaving
		if _, err := d.RecordWorker(ctx, w); err != nil {
			t.Fatal(err)
		}
		if err := d.MarkWorkerLeft(ctx, w.ID); err != nil {
			t.Fatal(err)
		}
		if got := d.HasLeft(w.ID); got != step.left {
			t.Errorf("worker that announced leaving %t has left: %t, want %t", step.leaving, got, step.left)
		}
	}
}
