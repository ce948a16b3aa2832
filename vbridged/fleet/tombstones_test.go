package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/golden"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
	"vanillabridge/vbridged/peer"
)

// captureLog returns what is logged until the test ends, without times.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	lines := &bytes.Buffer{}
	logTo(lines)
	t.Cleanup(klog.ClearLogger)
	return lines
}

func logTo(w io.Writer) {
	withoutTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{ReplaceAttr: withoutTime})))
}

// Guards against a cancelled job that runs, or doesn't, for a reason that no log line tells: that its cancellation named no
// job, whether that was recorded, that the submission met it and how much later, and that one was dropped.
func TestLogTellsOfLateSubmissions(t *testing.T) {
	registry := prometheus.NewRegistry()
	c := &manualClock{now: 1000}
	d := newKeyDomain(c, registry)
	d.roleTerm = 3
	lines := captureLog(t)
	index := uint64(0)
	apply := func(command ledger.Command) {
		index++
		d.apply(index, command)
	}
	apply(ledger.Configure{Config: teamConfig(7, "k")})
	cancel := ledger.Cancel{Host: "h", Path: "/a/0000000000000001", Now: 50_000, Key: flow.HashKey("k")}
	submit := ledger.Submit{Host: "h", Path: "/a/0000000000000001", Now: 51_300, Key: flow.HashKey("k"), Job: flow.Job{Steps: []flow.Step{{Count: 1}}}}
	apply(cancel)
	apply(ledger.RecordTombstones{})
	apply(cancel)
	apply(submit)
	apply(submit)
	const limit = 65_536 / 2 // of one team and of callers without a key
	logTo(io.Discard)
	for i := range limit - 1 {
		cancel.Path = fmt.Sprintf("/a/%d", i)
		apply(cancel)
	}
	logTo(lines)
	c.now += refusalWindow
	cancel.Path = "/a/0000000000000002"
	apply(cancel)
	golden.Check(t, "testdata/tombstones.golden", lines.String())
	for name, want := range map[string]float64{"vb_late_submissions_total": 1, "vb_dropped_tombstones_total": 1} {
		if got := gatherCounter(t, registry, name); got != want {
			t.Errorf("%s = %g, want %g", name, got, want)
		}
	}
}

// Guards against a flood of cancellations of unknown jobs that fills the log of a core.
func TestUnknownCancellationsAreLoggedWithinLimit(t *testing.T) {
	d := newKeyDomain(&manualClock{now: 1000}, prometheus.NewRegistry())
	lines := captureLog(t)
	d.apply(1, ledger.Configure{Config: flow.Config{Version: 1, Queues: []flow.Queue{{Host: "h", Prefix: "/a/"}}}})
	for i := range 1000 {
		d.apply(2, ledger.Cancel{Host: "h", Path: fmt.Sprintf("/a/%d", i)})
	}
	if got := bytes.Count(lines.Bytes(), []byte("cancellation names no job")); got != maxRefusalsLogged {
		t.Errorf("%d of 1000 cancellations are logged within a second, want %d", got, maxRefusalsLogged)
	}
}

// Guards against a job that is refused as not run although it was cancelled: its caller would hand it in again and again.
func TestCancelledJobIsNotRefused(t *testing.T) {
	d, _ := newFullDomain(t, prometheus.NewRegistry())
	r := requestAs(KindSubmit, "k")
	if _, _, refused := d.admit(r); !refused {
		t.Fatal("a further job of a flood is accepted")
	}
	d.state.Apply(ledger.RecordTombstones{})
	d.state.Apply(ledger.Cancel{Host: r.Host, Path: r.Path, Key: r.Key, Now: 1})
	if _, _, refused := d.admit(r); refused {
		t.Error("a job that was cancelled before is refused")
	}
}

// Guards against tombstones that are recorded while a core of an earlier version is in the group, up or not: its replica
// would skip the command, and accept and run what the others have cancelled.
func TestTombstonesWaitForAllCores(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer peer.RawCallHandler
		want   error
	}{
		{"down or unknown", nil, fault.ErrUnavailable},
		{"with teams only", func(context.Context, model.Instance, []byte) ([]byte, error) { return nil, nil }, fault.ErrUnavailable},
		{"of this version", handleForms, nil},
	} {
		core, coreListener, address := newCore(t)
		if c.answer != nil {
			core.HandleRawCall(methodForms, c.answer)
		}
		core.Serve(coreListener)
		l, self := listenLoopback(t)
		n := peer.New(self, nil, nil, nil)
		t.Cleanup(n.Close)
		n.Serve(l)
		d := &Domain{options: Options{Self: self, Clock: &manualClock{now: 1000}}, network: n, directory: newDirectory(self, n), state: ledger.New()}
		d.directory.update(1000, Member{Address: address, Core: true}, false)
		for range 200 {
			if _, err := n.CallRaw(t.Context(), address.Instance, "probe", nil); err == nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		members := []quorum.ID{quorum.NewID(self.Instance, 1), quorum.NewID(address.Instance, 2)}
		if err := d.checkForms(t.Context(), d.otherCores(members), formsTombstones); !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
			t.Errorf("member %s: error %v, want %v", c.name, err, c.want)
		}
	}
}

// pausedClock is a clock that goes on while the process stands still.
type pausedClock struct{ paused time.Duration }

func (c *pausedClock) Now() clock.Millis {
	return clock.Millis((time.Duration(time.Now().UnixNano()) + c.paused).Milliseconds())
}

// Guards against requests that are late because their process stood still, and no line that says so.
func TestPausesAreLogged(t *testing.T) {
	lines := captureLog(t)
	synctest.Test(t, func(t *testing.T) {
		c := &pausedClock{}
		ctx, cancel := context.WithCancel(t.Context())
		go logPauses(ctx, c, 120*clock.Second)
		for _, pause := range []time.Duration{0, 400 * time.Millisecond, 1800 * time.Millisecond, 0, 121 * time.Second} {
			synctest.Wait()
			c.paused += pause
			time.Sleep(pauseCheckInterval.Duration())
		}
		cancel()
		synctest.Wait()
	})
	golden.Check(t, "testdata/pauses.golden", lines.String())
}
