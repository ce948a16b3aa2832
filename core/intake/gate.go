package intake

import (
	"container/list"

	"vanillabridge/core/clock"
)

const (
	// FreeBytes is the part of a request that is not counted: the header and the body of an ordinary one.
	FreeBytes = 8 << 10
	// minWait is how long a connection may wait for its client before it is closed to make room for another.
	minWait = clock.Second
)

// Limits bounds the connections and the memory of a Gate.
type Limits struct {
	// Conns is the largest number of open connections.
	Conns int
	// Bytes is how much all requests in progress may have sent beyond their first FreeBytes. A single one may send more.
	Bytes int64
}

// ConnID identifies a connection.
type ConnID uint64

// conn is the state of a connection. It waits for its client until a request has arrived whole, and again after the
// response.
type conn struct {
	id    ConnID
	bytes int64 // of the request in progress
	// waitingSince is when the connection was opened, the first byte of the request arrived, or the last response was
	// written.
	waitingSince clock.Millis
	// waiting is the place in Gate.waiting, counted the one in Gate.counted; nil if it is in neither list.
	waiting, counted *list.Element
}

// countedBytes returns the part of the request that is counted.
func (c *conn) countedBytes() int64 { return max(0, c.bytes-FreeBytes) }

// Gate keeps the connections of one listener within Limits. It is not safe for concurrent use.
//
// Under pressure it gives up the connection that has waited for its client longest. What counts is when the request began and
// not when its last byte arrived, so that a client gains nothing by sending a byte now and then.
type Gate struct {
	limits Limits
	conns  map[ConnID]*conn
	// waiting holds the connections that wait for their clients, counted those of them with counted bytes; both have the
	// longest wait first.
	waiting, counted *list.List
	bytes            int64 // counted bytes of all connections
}

// NewGate returns a gate without connections.
func NewGate(l Limits) *Gate {
	return &Gate{limits: l, conns: map[ConnID]*conn{}, waiting: list.New(), counted: list.New()}
}

// Conns returns the number of open connections.
func (g *Gate) Conns() int { return len(g.conns) }

// Bytes returns the counted bytes of all requests in progress.
func (g *Gate) Bytes() int64 { return g.bytes }

// Open records a new connection. It returns the connection to close in its place, or 0, and whether the new one may stay.
func (g *Gate) Open(now clock.Millis, id ConnID) (evicted ConnID, ok bool) {
	if len(g.conns) >= g.limits.Conns {
		victim := longestWait(g.waiting, now, nil)
		if victim == nil {
			return 0, false
		}
		evicted = victim.id
		g.Close(evicted)
	}
	c := &conn{id: id}
	g.conns[id] = c
	g.await(now, c)
	return evicted, true
}

// Receive records bytes of a request. It returns the connections to close to make room for them, and whether the request may go
// on; otherwise its connection is to be closed.
func (g *Gate) Receive(now clock.Millis, id ConnID, n int) (evicted []ConnID, ok bool) {
	c := g.conns[id]
	if c == nil {
		return nil, false
	}
	if c.bytes == 0 && c.waiting != nil {
		g.await(now, c)
	}
	before := c.countedBytes()
	c.bytes += int64(n)
	g.bytes += c.countedBytes() - before
	if c.countedBytes() > 0 && c.counted == nil && c.waiting != nil {
		c.counted = g.counted.PushBack(c)
	}
	for g.bytes > g.limits.Bytes && g.bytes > c.countedBytes() {
		victim := longestWait(g.counted, now, c)
		if victim == nil {
			g.Close(id)
			return evicted, false
		}
		evicted = append(evicted, victim.id)
		g.Close(victim.id)
	}
	return evicted, true
}

// Serve records that the request of a connection has arrived whole. The connection is not closed for another until
// Finish.
func (g *Gate) Serve(id ConnID) {
	if c := g.conns[id]; c != nil {
		g.unlist(c)
	}
}

// Finish records that the response was written: the connection waits for another request.
func (g *Gate) Finish(now clock.Millis, id ConnID) {
	if c := g.conns[id]; c != nil {
		g.bytes -= c.countedBytes()
		c.bytes = 0
		g.await(now, c)
	}
}

// Close removes a connection.
func (g *Gate) Close(id ConnID) {
	c := g.conns[id]
	if c == nil {
		return
	}
	g.bytes -= c.countedBytes()
	g.unlist(c)
	delete(g.conns, id)
}

// await puts a connection behind all others that wait.
func (g *Gate) await(now clock.Millis, c *conn) {
	g.unlist(c)
	c.waitingSince = now
	c.waiting = g.waiting.PushBack(c)
}

func (g *Gate) unlist(c *conn) {
	if c.waiting != nil {
		g.waiting.Remove(c.waiting)
	}
	if c.counted != nil {
		g.counted.Remove(c.counted)
	}
	c.waiting, c.counted = nil, nil
}

// longestWait returns the connection of a list that has waited longest, at least minWait, or nil. It passes over one.
func longestWait(l *list.List, now clock.Millis, except *conn) *conn {
	for e := l.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if c == except {
			continue
		}
		if now-c.waitingSince < minWait {
			return nil
		}
		return c
	}
	return nil
}
