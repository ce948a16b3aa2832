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

// journal is a machine that keeps all commands.
type journal struct {
	mu   sync.Mutex
	data [][]byte
}

func (j *journal) Apply(_ uint64, data []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.data = append(j.data, data)
	return binary.BigEndian.AppendUint32(nil, uint32(len(j.data)))
}

func (j *journal) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return bytes.Join(j.data, []byte{0}), nil
}

func (j *journal) Restore(b []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.data = bytes.Split(b, []byte{0})
	return nil
}

func (j *journal) text() string {
	b, _ := j.Snapshot()
	return string(b)
}

// cluster connects replicas in one process; a replica that is down neither sends nor receives.
type cluster struct {
	t     testing.TB
	names []model.Instance
	conf  func(*group.Config)

	mu     sync.Mutex
	groups map[model.Instance]*group.Group
	logs   map[model.Instance]*journal
	cut    map[model.Instance]bool
}

func newCluster(t testing.TB, conf func(*group.Config), names ...model.Instance) *cluster {
	c := &cluster{t: t, names: names, conf: conf, groups: map[model.Instance]*group.Group{}, logs: map[model.Instance]*journal{}, cut: map[model.Instance]bool{}}
	for _, n := range names {
		c.start(n)
	}
	return c
}

func (c *cluster) start(name model.Instance) {
	c.t.Helper()
	j := &journal{}
	cfg := group.Config{Group: "test", Self: name, Voters: c.names, Bootstrap: true, Machine: j, Transport: link{c, name}, Forwarder: link{c, name}}
	for _, n := range c.names {
		cfg.Peers = append(cfg.Peers, quorum.Peer{Name: n, Zone: "z"})
	}
	if c.conf != nil {
		c.conf(&cfg)
	}
	g, err := group.Open(cfg)
	if err != nil {
		c.t.Fatalf("open %s: %v", name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups[name], c.logs[name] = g, j
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

func (c *cluster) at(name model.Instance) *group.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groups[name]
}

func (c *cluster) log(name model.Instance) *journal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logs[name]
}

func (c *cluster) setCut(name model.Instance, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[name] = cut
}

// leader waits until one of the replicas leads.
func (c *cluster) leader() model.Instance {
	c.t.Helper()
	for range 2000 {
		for _, n := range c.names {
			if g := c.at(n); g != nil {
				if _, _, mine := g.Leader(); mine {
					return n
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("no leader")
	return ""
}

func (c *cluster) propose(at model.Instance, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.at(at).Propose(ctx, []byte(text))
	return err
}

// link is the transport and the forwarder of one replica.
type link struct {
	c    *cluster
	from model.Instance
}

func (l link) peer(to model.Instance) *group.Group {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if l.c.cut[l.from] || l.c.cut[to] {
		return nil
	}
	return l.c.groups[to]
}

func (l link) Send(to model.Instance, m quorum.Message) {
	if g := l.peer(to); g != nil {
		g.Receive(m)
	}
}

func (l link) Propose(ctx context.Context, to model.Instance, _ string, data []byte) ([]byte, error) {
	g := l.peer(to)
	if g == nil {
		return nil, fault.Wrap(fault.ErrUnavailable, "%s cannot reach %s", l.from, to)
	}
	return g.ProposeHere(ctx, data)
}
