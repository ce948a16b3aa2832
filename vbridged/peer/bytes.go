package peer

import (
	"cmp"
	"slices"
	"sync"
)

// TrafficCounter counts the bytes exchanged with peers.
type TrafficCounter struct {
	mu          sync.Mutex
	byMethod    map[trafficKey]*Traffic
	sameRegion  Traffic
	crossRegion Traffic
}

type trafficKey struct {
	method      string
	crossRegion bool
}

// Traffic holds totals of bytes and messages.
type Traffic struct {
	Sent     int64
	Received int64
	Messages int64
}

// MethodTraffic is the traffic sent for one method, within the region or across regions.
type MethodTraffic struct {
	Method      string
	CrossRegion bool // whether the peers are in another region
	Traffic     Traffic
}

func newTrafficCounter() *TrafficCounter { return &TrafficCounter{byMethod: map[trafficKey]*Traffic{}} }

func (c *TrafficCounter) addWireBytes(crossRegion bool, sent, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.sameRegion
	if crossRegion {
		t = &c.crossRegion
	}
	t.Sent += int64(sent)
	t.Received += int64(received)
}

func (c *TrafficCounter) addMessage(method string, crossRegion bool, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := trafficKey{method: method, crossRegion: crossRegion}
	t, ok := c.byMethod[key]
	if !ok {
		t = &Traffic{}
		c.byMethod[key] = t
	}
	t.Sent += int64(sent)
	t.Messages++
}

// WireTraffic returns the bytes read from and written to connections, within the region and across
// regions.
func (c *TrafficCounter) WireTraffic() (sameRegion, crossRegion Traffic) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sameRegion, c.crossRegion
}

// TrafficByMethod returns the bytes of message bodies sent, sorted by method. Framing is not included.
func (c *TrafficCounter) TrafficByMethod() []MethodTraffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]MethodTraffic, 0, len(c.byMethod))
	for key, t := range c.byMethod {
		list = append(list, MethodTraffic{Method: key.method, CrossRegion: key.crossRegion, Traffic: *t})
	}
	slices.SortFunc(list, func(a, b MethodTraffic) int { return cmp.Compare(a.Method, b.Method) })
	return list
}
