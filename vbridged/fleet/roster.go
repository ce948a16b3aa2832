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

// Member is an instance as it announces itself.
type Member struct {
	Address peer.Address `json:"address"`
	Core    bool         `json:"core"`
}

// attendance is the body of an announcement.
type attendance struct {
	Member Member `json:"member"`
}

// roll answers an announcement with what the core knows.
type roll struct {
	Self    Member         `json:"self"`
	Cores   []Member       `json:"cores"`
	Leader  model.Instance `json:"leader"`
	Term    uint64         `json:"term"`
	Version uint64         `json:"version"`
	// Bounds of the configuration in force.
	Header int          `json:"header"`
	Body   int          `json:"body"`
	Idle   clock.Millis `json:"idle"`
}

// roster is the directory of instances, learned from announcements.
type roster struct {
	self peer.Address
	net  *peer.Net

	mu      sync.Mutex
	members map[model.Instance]Member
	seen    map[model.Instance]clock.Millis
}

func newRoster(self peer.Address, net *peer.Net) *roster {
	return &roster{self: self, net: net, members: map[model.Instance]Member{}, seen: map[model.Instance]clock.Millis{}}
}

// learn adds an instance and reports whether it is a new core. Heard says that the instance spoke
// for itself; what others say of it doesn't show that it lives.
func (r *roster) learn(now clock.Millis, m Member, heard bool) bool {
	name := m.Address.Instance
	if name == "" || name == r.self.Instance {
		return false
	}
	r.mu.Lock()
	old, known := r.members[name]
	if heard || !known {
		r.members[name] = m
	}
	if heard {
		r.seen[name] = now
	}
	r.mu.Unlock()
	if heard || !known {
		r.net.Add(m.Address)
	}
	return m.Core && (!known || !old.Core)
}

// cores returns all known cores besides this instance.
func (r *roster) cores() []Member {
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

// present returns the instances that announced themselves lately.
func (r *roster) present(now clock.Millis) []model.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []model.Instance
	for name, at := range r.seen {
		if now-at <= goneAfter {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// deskOf returns the HTTP address of another core that spoke lately, or nothing if there is none.
// Announcements that hold no news need no leader, and took a tenth of its processor.
func (r *roster) deskOf(now clock.Millis, id model.WorkerID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for name, m := range r.members {
		if at, ok := r.seen[name]; ok && m.Core && now-at <= goneAfter {
			list = append(list, m.Address.HTTP)
		}
	}
	if len(list) == 0 {
		return ""
	}
	slices.Sort(list)
	return list[xxhash.Sum64String(string(id))%uint64(len(list))]
}

// forgetGone drops instances other than cores that are gone, so that they are not dialled for ever.
func (r *roster) forgetGone(now clock.Millis) {
	r.mu.Lock()
	var gone []model.Instance
	for name, at := range r.seen {
		if now-at > 4*goneAfter && !r.members[name].Core {
			gone = append(gone, name)
			delete(r.seen, name)
			delete(r.members, name)
		}
	}
	r.mu.Unlock()
	for _, name := range gone {
		r.net.Remove(name)
	}
}
