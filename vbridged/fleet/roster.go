package fleet

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/vbridged/peer"
)

// Member describes an instance in announcements.
type Member struct {
	Address peer.Address `json:"address"`
	Core    bool         `json:"core"`
}

// announcement holds the parameters of the announce call.
type announcement struct {
	Member Member `json:"member"`
}

// announceReply is a core's answer to an announcement: the cores, the leader and the configuration
// that it knows.
type announceReply struct {
	Self    Member         `json:"self"`
	Cores   []Member       `json:"cores"`
	Leader  model.Instance `json:"leader"`
	Term    uint64         `json:"term"`
	Version uint64         `json:"version"`
	// Request limits of the configuration in force.
	MaxHeaderBytes int          `json:"header"`
	MaxBodyBytes   int          `json:"body"`
	IdleTimeout    clock.Millis `json:"idle"`
}

// directory holds the known instances of the domain, learned from seeds and announcements.
type directory struct {
	self    peer.Address
	network *peer.Net

	mu        sync.Mutex
	members   map[model.Instance]Member
	lastHeard map[model.Instance]clock.Millis
}

func newDirectory(self peer.Address, net *peer.Net) *directory {
	return &directory{self: self, network: net, members: map[model.Instance]Member{}, lastHeard: map[model.Instance]clock.Millis{}}
}

// update adds or replaces an instance and reports whether it is a new core. If direct is set, the
// instance itself sent the data; data about it from other instances do not show that it is alive.
func (r *directory) update(now clock.Millis, m Member, direct bool) bool {
	name := m.Address.Instance
	if name == "" || name == r.self.Instance {
		return false
	}
	r.mu.Lock()
	old, known := r.members[name]
	if direct || !known {
		r.members[name] = m
	}
	if direct {
		r.lastHeard[name] = now
	}
	r.mu.Unlock()
	if direct || !known {
		r.network.Add(m.Address)
	}
	return m.Core && (!known || !old.Core)
}

// cores returns all known cores except this instance, sorted by name.
func (r *directory) cores() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Member
	for _, m := range r.members {
		if m.Core {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Address.Instance, b.Address.Instance) })
	return list
}

// liveInstances returns the instances that were heard from within memberTimeout, sorted by name.
func (r *directory) liveInstances(now clock.Millis) []model.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []model.Instance
	for name, heardAt := range r.lastHeard {
		if now-heardAt <= memberTimeout {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// announceAddress returns the HTTP address of another live core to which a worker should send its
// announcements, or "" if there is none. Most announcements change nothing and need no leader; they
// took a tenth of the leader's CPU time.
func (r *directory) announceAddress(now clock.Millis, id model.WorkerID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for name, m := range r.members {
		if heardAt, ok := r.lastHeard[name]; ok && m.Core && now-heardAt <= memberTimeout {
			list = append(list, m.Address.HTTP)
		}
	}
	if len(list) == 0 {
		return ""
	}
	slices.Sort(list)
	return list[xxhash.Sum64String(string(id))%uint64(len(list))]
}

// removeGone removes instances without a disk that have been silent for four times memberTimeout, so
// that they are not dialled for ever.
func (r *directory) removeGone(now clock.Millis) {
	r.mu.Lock()
	var gone []model.Instance
	for name, heardAt := range r.lastHeard {
		if now-heardAt > 4*memberTimeout && !r.members[name].Core {
			gone = append(gone, name)
			delete(r.lastHeard, name)
			delete(r.members, name)
		}
	}
	r.mu.Unlock()
	for _, name := range gone {
		r.network.Remove(name)
	}
}
