package group_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"sync"
	"testing"
	"time"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
	"vanillabridge/vbridged/group"
)

// recordingMachine is a state machine that records all commands it applies.
type recordingMachine struct {
	mu       sync.Mutex
	commands [][]byte
}

func (m *recordingMachine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, data)
	return binary.BigEndian.AppendUint32(nil, uint32(len(m.commands)))
}

func (m *recordingMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return bytes.Join(m.commands, []byte{0}), nil
}

func (m *recordingMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = bytes.Split(b, []byte{0})
	return nil
}

func (m *recordingMachine) text() string {
	b, _ := m.Snapshot()
	return string(b)
}

// cluster connects replicas in one process. Isolated replicas neither send nor receive.
type cluster struct {
	t         testing.TB
	names     []model.Instance
	configure func(*group.Config)

	mu       sync.Mutex
	groups   map[model.Instance]*group.Group
	machines map[model.Instance]*recordingMachine
	isolated map[model.Instance]bool
}

func newCluster(t testing.TB, configure func(*group.Config), names ...model.Instance) *cluster {
	c := &cluster{t: t, names: names, configure: configure, groups: map[model.Instance]*group.Group{}, machines: map[model.Instance]*recordingMachine{}, isolated: map[model.Instance]bool{}}
	for _, n := range names {
		c.start(n)
	}
	return c
}

func (c *cluster) start(name model.Instance) {
	c.t.Helper()
	m := &recordingMachine{}
	cfg := group.Config{Group: "test", Self: name, InitialVoters: c.names, Bootstrap: true, Machine: m, Transport: link{c, name}, Forwarder: link{c, name}}
	for _, n := range c.names {
		cfg.Peers = append(cfg.Peers, quorum.Peer{Name: n, Zone: "z"})
	}
	if c.configure != nil {
		c.configure(&cfg)
	}
	g, err := group.Open(cfg)
	if err != nil {
		c.t.Fatalf("open %s: %v", name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups[name], c.machines[name] = g, m
}

func (c *cluster) stop(name model.Instance) {
	c.mu.Lock()
	g := c.groups[name]
	delete(c.groups, name)
	c.mu.Unlock()
	if g != nil {
		_ = g.Close()
	}
}

func (c *cluster) close() {
	for _, n := range c.names {
		c.stop(n)
	}
}

func (c *cluster) replica(name model.Instance) *group.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groups[name]
}

func (c *cluster) machine(name model.Instance) *recordingMachine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[name]
}

func (c *cluster) setIsolated(name model.Instance, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[name] = isolated
}

// waitForLeader waits until one of the replicas leads and returns its name.
func (c *cluster) waitForLeader() model.Instance {
	c.t.Helper()
	for range 2000 {
		for _, n := range c.names {
			if g := c.replica(n); g != nil {
				if _, _, isLeader := g.Leader(); isLeader {
					return n
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("no replica became leader")
	return ""
}

func (c *cluster) propose(name model.Instance, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.replica(name).Propose(ctx, []byte(text))
	return err
}

// link is the transport and the forwarder of one replica.
type link struct {
	cluster *cluster
	from    model.Instance
}

func (l link) reachablePeer(to model.Instance) *group.Group {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	if l.cluster.isolated[l.from] || l.cluster.isolated[to] {
		return nil
	}
	return l.cluster.groups[to]
}

func (l link) Send(to model.Instance, m quorum.Message) {
	if g := l.reachablePeer(to); g != nil {
		g.Receive(m)
	}
}

func (l link) Propose(ctx context.Context, to model.Instance, _ string, data []byte) ([]byte, error) {
	g := l.reachablePeer(to)
	if g == nil {
		return nil, fault.Wrap(fault.ErrUnavailable, "%s cannot reach %s", l.from, to)
	}
	return g.ProposeLocal(ctx, data)
}
