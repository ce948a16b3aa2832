package flow

import (
	"cmp"
	"slices"
)

// Index finds the queue of a path and the team of a key in a configuration, in a time that does not grow with the
// number of queues and teams. The zero value is that of an empty configuration.
type Index struct {
	enforced bool
	hosts    map[string]hostIndex
	teams    map[KeyHash]string
	public   map[string]bool // by endpoint
}

// hostIndex holds the queues of one host.
type hostIndex struct {
	byPrefix map[string]Queue
	lengths  []int // of the prefixes, longest first
}

// NewIndex returns the index of a configuration.
func NewIndex(c Config) Index {
	x := Index{enforced: c.Access.Enforced, hosts: map[string]hostIndex{}, teams: map[KeyHash]string{}, public: map[string]bool{}}
	for _, q := range c.Queues {
		h, known := x.hosts[q.Host]
		if !known {
			h.byPrefix = map[string]Queue{}
		}
		if _, taken := h.byPrefix[q.Prefix]; !taken {
			h.byPrefix[q.Prefix] = q
		}
		if !slices.Contains(h.lengths, len(q.Prefix)) {
			h.lengths = append(h.lengths, len(q.Prefix))
		}
		x.hosts[q.Host] = h
	}
	for _, h := range x.hosts {
		slices.SortFunc(h.lengths, func(a, b int) int { return cmp.Compare(b, a) })
	}
	for _, t := range c.Access.Teams {
		for _, k := range t.Keys {
			if _, taken := x.teams[k]; !taken {
				x.teams[k] = t.Name
			}
		}
	}
	for _, endpoint := range c.Access.PublicQueues {
		x.public[endpoint] = true
	}
	return x
}

// LookupQueue returns what Config.LookupQueue returns.
func (x Index) LookupQueue(host, path string) (q Queue, rest string, ok bool) {
	h := x.hosts[host]
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if q, ok := h.byPrefix[path[:n]]; ok {
			return q, path[n:], true
		}
	}
	return Queue{}, "", false
}

// Authorize returns what Access.Authorize returns.
func (x Index) Authorize(q Queue, key KeyHash) (team string, ok bool) {
	switch {
	case !x.enforced:
		return "", true
	case key == (KeyHash{}):
		return "", x.public[q.Endpoint()]
	}
	team, ok = x.teams[key]
	return team, ok
}
