package group_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
	"vanillabridge/vbridged/group"
)

// indexMachine is a state machine that keeps the last index of each key, so that its state has a
// fixed size for each key.
type indexMachine struct {
	mu        sync.Mutex
	lastIndex map[uint64]uint64
}

func (m *indexMachine) Apply(index uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastIndex[binary.BigEndian.Uint64(data)] = index
	return nil
}

func (m *indexMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := make([]byte, 0, 16*len(m.lastIndex))
	for k, v := range m.lastIndex {
		b = binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, k), v)
	}
	return b, nil
}

func (m *indexMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ; len(b) >= 16; b = b[16:] {
		m.lastIndex[binary.BigEndian.Uint64(b)] = binary.BigEndian.Uint64(b[8:])
	}
	return nil
}

func encodeCommand(i uint64) []byte {
	b := make([]byte, 128)
	binary.BigEndian.PutUint64(b, i)
	return b
}

// countingTransport counts the encoded bytes of all messages of a cluster.
type countingTransport struct {
	link
	mu    *sync.Mutex
	bytes *uint64
}

func (t countingTransport) Send(to model.Instance, m quorum.Message) {
	b, _ := m.Encode()
	t.mu.Lock()
	*t.bytes += uint64(len(b))
	t.mu.Unlock()
	t.link.Send(to, m)
}

// BenchmarkCommit measures commits of 128-byte commands for several numbers of concurrent callers.
// The group has three replicas in one process, with real files and syncs.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 16, 256, 2048} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchmarkCommit(b, callers) })
	}
}

func benchmarkCommit(b *testing.B, callers int) {
	dir := b.TempDir()
	var mu sync.Mutex
	var bytes uint64
	c := newCluster(b, func(cfg *group.Config) {
		cfg.DataDir = filepath.Join(dir, string(cfg.Self))
		cfg.Machine = &indexMachine{lastIndex: map[uint64]uint64{}}
		cfg.Transport = countingTransport{cfg.Transport.(link), &mu, &bytes}
	}, "a", "b", "c")
	defer c.close()
	lead := c.replica(c.waitForLeader())
	_, _ = lead.Propose(context.Background(), encodeCommand(0))
	before := lead.Status().Store
	mu.Lock()
	start := bytes
	mu.Unlock()
	work := make(chan uint64, callers)
	var wg sync.WaitGroup
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			for i := range work {
				if _, err := lead.Propose(context.Background(), encodeCommand(i)); err != nil {
					b.Error(err)
				}
			}
		})
	}
	for i := range b.N {
		work <- uint64(i % 10_000)
	}
	close(work)
	wg.Wait()
	b.StopTimer()
	after := lead.Status().Store
	mu.Lock()
	defer mu.Unlock()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(after.LogSyncs-before.LogSyncs)/float64(b.N), "syncs/commit")
	b.ReportMetric(float64(after.LogBytesWritten-before.LogBytesWritten)/float64(b.N), "disk-B/commit")
	b.ReportMetric(float64(bytes-start)/float64(b.N), "net-B/commit")
}

// BenchmarkRestore measures the time from the start of a replica to its first linearizable read,
// with a log of 128-byte commands and with a snapshot of as many keys.
func BenchmarkRestore(b *testing.B) {
	for _, entries := range []int{10_000, 1_000_000} {
		for _, snapshots := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/snapshot=%t", entries, snapshots), func(b *testing.B) {
				benchmarkRestore(b, entries, snapshots)
			})
		}
	}
}

func benchmarkRestore(b *testing.B, entries int, snapshots bool) {
	dir := b.TempDir()
	var machine *indexMachine
	c := &cluster{t: b, names: []model.Instance{"a"}, groups: map[model.Instance]*group.Group{}, machines: map[model.Instance]*recordingMachine{}, isolated: map[model.Instance]bool{}}
	c.configure = func(cfg *group.Config) {
		machine = &indexMachine{lastIndex: map[uint64]uint64{}}
		cfg.DataDir, cfg.Machine = filepath.Join(dir, "a"), machine
		cfg.SnapshotEntries, cfg.SnapshotBytes = 1<<40, 1<<40
		if snapshots {
			cfg.SnapshotEntries, cfg.Limits.TrailingEntries = uint64(entries), 0
		}
	}
	c.start("a")
	g := c.replica(c.waitForLeader())
	work := make(chan uint64, 4096)
	var wg sync.WaitGroup
	for range 4096 {
		wg.Go(func() {
			for i := range work {
				_, _ = g.Propose(context.Background(), encodeCommand(i))
			}
		})
	}
	for i := range entries {
		work <- uint64(i)
	}
	close(work)
	wg.Wait()
	c.stop("a")
	var open, ready time.Duration
	var before, after runtime.MemStats
	for range b.N {
		machine = nil
		runtime.GC()
		runtime.ReadMemStats(&before)
		start := time.Now()
		c.start("a")
		open += time.Since(start)
		if err := c.replica("a").Barrier(context.Background()); err != nil {
			b.Fatal(err)
		}
		ready += time.Since(start)
		runtime.GC()
		runtime.ReadMemStats(&after)
		if len(machine.lastIndex) != entries {
			b.Fatalf("restored %d keys of %d", len(machine.lastIndex), entries)
		}
		c.stop("a")
	}
	b.ReportMetric(float64(open.Milliseconds())/float64(b.N), "open-ms")
	b.ReportMetric(float64(ready.Milliseconds())/float64(b.N), "ready-ms")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "live-MiB")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/(1<<20), "allocated-MiB")
}
