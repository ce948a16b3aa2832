package peer

import (
	"cmp"
	"slices"
	"sync"
)

// Counter counts the bytes that are exchanged with peers.
type Counter struct {
	mu       sync.Mutex
	purposes map[purpose]*Traffic
	local    Traffic
	across   Traffic
}

type purpose struct {
	method  string
	crosses bool
}

// Traffic is a number of bytes and messages.
type Traffic struct {
	Sent     int64
	Received int64
	Messages int64
}

// Usage is what was sent for one purpose.
type Usage struct {
	Method  string
	Crosses bool // whether it crossed regions
	Traffic Traffic
}

func newCounter() *Counter { return &Counter{purposes: map[purpose]*Traffic{}} }

func (c *Counter) wire(crosses bool, sent, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.local
	if crosses {
		t = &c.across
	}
	t.Sent += int64(sent)
	t.Received += int64(received)
}

func (c *Counter) purpose(method string, crosses bool, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := purpose{method: method, crosses: crosses}
	t, ok := c.purposes[key]
	if !ok {
		t = &Traffic{}
		c.purposes[key] = t
	}
	t.Sent += int64(sent)
	t.Messages++
}

// Wire returns all bytes on the wire, within the region and across regions.
func (c *Counter) Wire() (local, across Traffic) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.local, c.across
}

// Purposes returns the bytes of message bodies that were sent, by method.
func (c *Counter) Purposes() []Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Usage, 0, len(c.purposes))
	for p, t := range c.purposes {
		list = append(list, Usage{Method: p.method, Crosses: p.crosses, Traffic: *t})
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Compare(a.Method, b.Method) })
	return list
}
