package route

import (
	"math/rand/v2"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/member"
)

const (
	// smoothingFactor is the weight of a new sample in the exponential moving averages.
	smoothingFactor = 0.2
	// maxErrorRate is the moving average of errors above which a server is ejected.
	maxErrorRate = 0.5
	// minErrorSamples and minLatencySamples are the numbers of samples needed to eject a server
	// for its error rate and its latency.
	minErrorSamples   = 5
	minLatencySamples = 10
	// slowLatencyFactor is the multiple of the set's median latency above which a server is ejected.
	slowLatencyFactor = 4.0
	// minSlowLatencyMs is the latency up to which a server is never ejected as slow.
	minSlowLatencyMs = 20.0
	// minEjectionTime and maxEjectionTime bound the time for which a server is ejected. It doubles
	// with each consecutive ejection.
	minEjectionTime = 1 * clock.Second
	maxEjectionTime = 30 * clock.Second
	// medianInterval is the age of the median latency at which it is computed again.
	medianInterval = 1 * clock.Second
)

// Policy is a load-balancing policy.
type Policy uint8

// The policies.
const (
	// LeastActive picks the less loaded of two random servers. It ejects failing and slow servers.
	LeastActive Policy = iota
	// SmoothRoundRobin is smooth weighted round robin. It ejects failing and slow servers as well.
	SmoothRoundRobin
)

// Permits returns the number of further requests that may be sent to a server.
type Permits interface {
	Free(now clock.Millis, k member.Key) int
}

type server struct {
	key              member.Key
	weight           float64
	activeRequests   int
	currentWeight    float64 // of SmoothRoundRobin
	latencyMs        float64 // moving average over successful requests; 0 without a sample
	errorRate        float64 // moving average, 0 to 1
	samples          int
	ejectionTime     clock.Millis // length of the last ejection; 0 once the server has recovered
	ejectedUntil     clock.Millis // end of the last ejection
	ejectedForErrors bool         // the last ejection was for errors, not for latency
}

// ServerSet holds the eligible servers of a service.
type ServerSet struct {
	policy      Policy
	random      *rand.Rand
	servers     []*server
	index       map[member.Key]*server
	medianMs    float64
	medianAt    clock.Millis
	latenciesMs []float64 // buffer for computing the median, reused
}

// NewServerSet returns an empty set whose random choices are determined by the seed.
func NewServerSet(p Policy, seed uint64) *ServerSet {
	return &ServerSet{policy: p, random: rand.New(rand.NewPCG(seed, seed)), index: map[member.Key]*server{}}
}

// Put adds a server or updates its weight, which is its number of slots.
func (s *ServerSet) Put(k member.Key, weight int) {
	if old, ok := s.index[k]; ok {
		old.weight = float64(max(1, weight))
		return
	}
	n := &server{key: k, weight: float64(max(1, weight))}
	s.index[k] = n
	s.servers = append(s.servers, n)
}

// Remove removes a server. If all remaining servers are ejected for errors, their ejections end.
func (s *ServerSet) Remove(k member.Key) {
	delete(s.index, k)
	s.servers = slices.DeleteFunc(s.servers, func(n *server) bool { return n.key == k })
	if slices.ContainsFunc(s.servers, func(n *server) bool { return n.ejectedUntil == 0 || !n.ejectedForErrors }) {
		return
	}
	for _, n := range s.servers {
		n.ejectedUntil = 0 // only failing servers remain; sending them requests is better than refusing all
	}
}

// Len returns the number of servers.
func (s *ServerSet) Len() int { return len(s.servers) }

// Keys calls yield with the key of each server, in a fixed order, until yield returns false.
func (s *ServerSet) Keys(yield func(k member.Key) bool) {
	for _, n := range s.servers {
		if !yield(n.key) {
			return
		}
	}
}

// Pick returns a server with a free permit. A server that was ejected as slow is used when no other
// is free, because a slow response is better than a refusal. A server that was ejected for errors is
// not used: if it fails requests immediately it always has free permits, and would attract all
// requests.
func (s *ServerSet) Pick(now clock.Millis, p Permits) (member.Key, bool) {
	if len(s.servers) == 0 {
		return member.Key{}, false
	}
	var n *server
	if s.policy == SmoothRoundRobin {
		n = s.pickRoundRobin(now, p)
	} else {
		n = s.pickLessLoaded(now, p)
	}
	if n == nil {
		n = s.pickAny(now, p)
	}
	if n == nil {
		return member.Key{}, false
	}
	return n.key, true
}

// RecordStart records that a request was assigned to a server.
func (s *ServerSet) RecordStart(k member.Key) {
	if n, ok := s.index[k]; ok {
		n.activeRequests++
	}
}

// RecordEnd records the end of a request: its latency and whether the server failed it.
func (s *ServerSet) RecordEnd(now clock.Millis, k member.Key, latency clock.Millis, failed bool) {
	n, ok := s.index[k]
	if !ok {
		return
	}
	// The request may have started before the server was removed and added again.
	n.activeRequests = max(0, n.activeRequests-1)
	n.samples++
	sample := 0.0
	if failed {
		sample = 1
	} else if n.latencyMs == 0 {
		n.latencyMs = float64(latency)
	} else {
		n.latencyMs += smoothingFactor * (float64(latency) - n.latencyMs)
	}
	n.errorRate += smoothingFactor * (sample - n.errorRate)
	s.updateEjection(now, n)
}

// CancelStart reverts RecordStart for a request of which no byte was sent.
func (s *ServerSet) CancelStart(k member.Key) {
	if n, ok := s.index[k]; ok {
		n.activeRequests = max(0, n.activeRequests-1)
	}
}

// pickLessLoaded returns the less loaded of two random servers, or nil if both are full or ejected.
func (s *ServerSet) pickLessLoaded(now clock.Millis, p Permits) *server {
	a := s.servers[s.random.IntN(len(s.servers))]
	b := s.servers[s.random.IntN(len(s.servers))]
	if b.load() < a.load() {
		a, b = b, a
	}
	switch {
	case now >= a.ejectedUntil && p.Free(now, a.key) > 0:
		return a
	case now >= b.ejectedUntil && p.Free(now, b.key) > 0:
		return b
	default:
		return nil
	}
}

func (n *server) load() float64 { return float64(n.activeRequests+1) / n.weight }

func (s *ServerSet) pickRoundRobin(now clock.Millis, p Permits) *server {
	var best *server
	total := 0.0
	for _, n := range s.servers {
		if now < n.ejectedUntil || p.Free(now, n.key) == 0 {
			continue
		}
		total += n.weight
		n.currentWeight += n.weight
		if best == nil || n.currentWeight > best.currentWeight {
			best = n
		}
	}
	if best != nil {
		best.currentWeight -= total
	}
	return best
}

// pickAny searches all servers, starting at a random one. It returns nil if none can be used.
func (s *ServerSet) pickAny(now clock.Millis, p Permits) *server {
	var fallback *server
	i := s.random.IntN(len(s.servers))
	for range s.servers {
		n := s.servers[i]
		if i++; i == len(s.servers) {
			i = 0
		}
		if p.Free(now, n.key) == 0 {
			continue
		}
		if now >= n.ejectedUntil {
			return n
		}
		if !n.ejectedForErrors && (fallback == nil || n.ejectedUntil < fallback.ejectedUntil) {
			fallback = n
		}
	}
	return fallback
}

func (s *ServerSet) updateEjection(now clock.Millis, n *server) {
	if now < n.ejectedUntil {
		return
	}
	failing := n.samples >= minErrorSamples && n.errorRate > maxErrorRate
	slow := n.samples >= minLatencySamples && n.latencyMs > minSlowLatencyMs && n.latencyMs > slowLatencyFactor*s.medianLatency(now)
	if !failing && !slow {
		if n.samples >= minLatencySamples {
			n.ejectionTime = 0
		}
		return
	}
	if !s.canEject(now) {
		return
	}
	n.ejectionTime = min(max(2*n.ejectionTime, minEjectionTime), maxEjectionTime)
	n.ejectedUntil = now + n.ejectionTime
	n.ejectedForErrors = failing
	// The next ejection requires new samples, but so few that a server that still fails is ejected
	// again soon.
	n.samples = minErrorSamples - 1
	n.errorRate = maxErrorRate
	n.latencyMs = 0
}

// canEject reports whether at least half of the servers stay in use after another ejection. When
// most servers are bad, ejection only moves the load to fewer servers.
func (s *ServerSet) canEject(now clock.Millis) bool {
	ejected := 0
	for _, n := range s.servers {
		if now < n.ejectedUntil {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(s.servers)
}

func (s *ServerSet) medianLatency(now clock.Millis) float64 {
	if now-s.medianAt < medianInterval && s.medianMs > 0 {
		return s.medianMs
	}
	s.medianAt = now
	s.latenciesMs = s.latenciesMs[:0]
	for _, n := range s.servers {
		if n.latencyMs > 0 {
			s.latenciesMs = append(s.latenciesMs, n.latencyMs)
		}
	}
	if len(s.latenciesMs) == 0 {
		return 0
	}
	slices.Sort(s.latenciesMs)
	s.medianMs = s.latenciesMs[len(s.latenciesMs)/2]
	return s.medianMs
}
