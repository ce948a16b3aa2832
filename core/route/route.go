package route

import (
	"math/rand/v2"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/member"
)

const (
	// smoothing is the weight of a new sample in the moving averages.
	smoothing = 0.2
	// errorLimit is the share of errors above which a server is ejected.
	errorLimit = 0.5
	// errorSamples and slowSamples are the samples needed to eject a server.
	errorSamples = 5
	slowSamples  = 10
	// slowFactor is the latency, in medians of the set, above which a server is ejected.
	slowFactor = 4.0
	// slowFloor is the latency below which no server counts as slow, in milliseconds.
	slowFloor = 20.0
	// firstRest and maxRest bound the time for which a server is ejected; it doubles.
	firstRest = 1 * clock.Second
	maxRest   = 30 * clock.Second
	// medianTime is the age at which the median is computed anew.
	medianTime = 1 * clock.Second
)

// Policy selects how a server is chosen.
type Policy uint8

// The policies.
const (
	// LeastActive takes the less loaded of two random servers and ejects bad ones.
	LeastActive Policy = iota
	// SmoothRobin is smooth weighted round robin, which ejects bad servers as well.
	SmoothRobin
)

// Permits tells how many further requests may be sent to a server.
type Permits interface {
	Free(now clock.Millis, k member.Key) int
}

type server struct {
	key     member.Key
	weight  float64
	active  int
	turn    float64 // of SmoothRobin
	latency float64 // moving average in milliseconds
	errors  float64 // moving average, 0 to 1
	samples int
	rest    clock.Millis // length of the last ejection
	until   clock.Millis // end of the last ejection
	failed  bool         // the last ejection was for errors
}

// Set holds the eligible servers of a service.
type Set struct {
	policy   Policy
	random   *rand.Rand
	servers  []*server
	index    map[member.Key]*server
	median   float64
	measured clock.Millis
	sorted   []float64 // scratch space of the median
}

// NewSet returns an empty set.
func NewSet(p Policy, seed uint64) *Set {
	return &Set{policy: p, random: rand.New(rand.NewPCG(seed, seed)), index: map[member.Key]*server{}}
}

// Put adds a server, with its slots as the weight.
func (s *Set) Put(k member.Key, weight int) {
	if old, ok := s.index[k]; ok {
		old.weight = float64(max(1, weight))
		return
	}
	n := &server{key: k, weight: float64(max(1, weight))}
	s.index[k] = n
	s.servers = append(s.servers, n)
}

// Remove takes a server out.
func (s *Set) Remove(k member.Key) {
	delete(s.index, k)
	s.servers = slices.DeleteFunc(s.servers, func(n *server) bool { return n.key == k })
	if slices.ContainsFunc(s.servers, func(n *server) bool { return n.until == 0 || !n.failed }) {
		return
	}
	for _, n := range s.servers {
		n.until = 0 // only failing servers are left: trying them is better than waiting
	}
}

// Len returns the number of servers.
func (s *Set) Len() int { return len(s.servers) }

// Keys calls yield with each server in a fixed order until it returns false.
func (s *Set) Keys(yield func(k member.Key) bool) {
	for _, n := range s.servers {
		if !yield(n.key) {
			return
		}
	}
}

// Pick returns a server with a free permit. A server that was ejected for being slow is used
// when no other is free, because a slow answer is better than a refusal. One that was
// ejected for errors isn't: it would take all the requests that it fails at once.
func (s *Set) Pick(now clock.Millis, p Permits) (member.Key, bool) {
	if len(s.servers) == 0 {
		return member.Key{}, false
	}
	var n *server
	if s.policy == SmoothRobin {
		n = s.pickTurn(now, p)
	} else {
		n = s.pickTwo(now, p)
	}
	if n == nil {
		n = s.scan(now, p)
	}
	if n == nil {
		return member.Key{}, false
	}
	return n.key, true
}

// Started counts a request towards a server.
func (s *Set) Started(k member.Key) {
	if n, ok := s.index[k]; ok {
		n.active++
	}
}

// Ended takes the latency of a request and whether the server failed it.
func (s *Set) Ended(now clock.Millis, k member.Key, latency clock.Millis, failed bool) {
	n, ok := s.index[k]
	if !ok {
		return
	}
	// A request may be older than the server's last return to the set.
	n.active = max(0, n.active-1)
	n.samples++
	sample := 0.0
	if failed {
		sample = 1
	} else if n.latency == 0 {
		n.latency = float64(latency)
	} else {
		n.latency += smoothing * (float64(latency) - n.latency)
	}
	n.errors += smoothing * (sample - n.errors)
	s.judge(now, n)
}

// Cancelled takes back a Started of which no byte was sent.
func (s *Set) Cancelled(k member.Key) {
	if n, ok := s.index[k]; ok {
		n.active = max(0, n.active-1)
	}
}

// pickTwo compares two random servers; the scan finds one when both are full or ejected.
func (s *Set) pickTwo(now clock.Millis, p Permits) *server {
	a := s.servers[s.random.IntN(len(s.servers))]
	b := s.servers[s.random.IntN(len(s.servers))]
	if b.load() < a.load() {
		a, b = b, a
	}
	switch {
	case now >= a.until && p.Free(now, a.key) > 0:
		return a
	case now >= b.until && p.Free(now, b.key) > 0:
		return b
	default:
		return nil
	}
}

func (n *server) load() float64 { return float64(n.active+1) / n.weight }

func (s *Set) pickTurn(now clock.Millis, p Permits) *server {
	var best *server
	total := 0.0
	for _, n := range s.servers {
		if now < n.until || p.Free(now, n.key) == 0 {
			continue
		}
		total += n.weight
		n.turn += n.weight
		if best == nil || n.turn > best.turn {
			best = n
		}
	}
	if best != nil {
		best.turn -= total
	}
	return best
}

// scan looks at all servers from a random one on.
func (s *Set) scan(now clock.Millis, p Permits) *server {
	var fallback *server
	at := s.random.IntN(len(s.servers))
	for range s.servers {
		n := s.servers[at]
		if at++; at == len(s.servers) {
			at = 0
		}
		if p.Free(now, n.key) == 0 {
			continue
		}
		if now >= n.until {
			return n
		}
		if !n.failed && (fallback == nil || n.until < fallback.until) {
			fallback = n
		}
	}
	return fallback
}

func (s *Set) judge(now clock.Millis, n *server) {
	if now < n.until {
		return
	}
	failing := n.samples >= errorSamples && n.errors > errorLimit
	slow := n.samples >= slowSamples && n.latency > slowFloor && n.latency > slowFactor*s.middle(now)
	if !failing && !slow {
		if n.samples >= slowSamples {
			n.rest = 0
		}
		return
	}
	if !s.mayEject(now) {
		return
	}
	n.rest = min(max(2*n.rest, firstRest), maxRest)
	n.until = now + n.rest
	n.failed = failing
	// The next verdict needs new evidence, but few samples suffice while it is on probation.
	n.samples = errorSamples - 1
	n.errors = errorLimit
	n.latency = 0
}

// mayEject keeps half of the set in use: when most servers are bad, ejection only moves the
// load to fewer of them.
func (s *Set) mayEject(now clock.Millis) bool {
	ejected := 0
	for _, n := range s.servers {
		if now < n.until {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(s.servers)
}

func (s *Set) middle(now clock.Millis) float64 {
	if now-s.measured < medianTime && s.median > 0 {
		return s.median
	}
	s.measured = now
	s.sorted = s.sorted[:0]
	for _, n := range s.servers {
		if n.latency > 0 {
			s.sorted = append(s.sorted, n.latency)
		}
	}
	if len(s.sorted) == 0 {
		return 0
	}
	slices.Sort(s.sorted)
	s.median = s.sorted[len(s.sorted)/2]
	return s.median
}
