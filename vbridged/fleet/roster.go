package fleet

import (
	"cmp"
	"maps"
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
	// Keys is set if the configuration has teams, so that requests need their key.
	Keys bool `json:"keys,omitempty"`
}

// directory holds the known instances of the domain, learned from seeds and announcements.
type directory struct {
	self    peer.Address
	network *peer.Transport

	mu        sync.Mutex
	members   map[model.Instance]Member
	lastHeard map[model.Instance]clock.Millis // time of the last announcement or answer of an instance
}

func newDirectory(self peer.Address, network *peer.Transport) *directory {
	return &directory{self: self, network: network, members: map[model.Instance]Member{}, lastHeard: map[model.Instance]clock.Millis{}}
}

// update records an instance and reports whether it is a new core. If direct is set, the instance
// itself sent the data, which then replaces earlier data. Data from other instances only adds unknown
// instances; it does not show that they are alive.
func (d *directory) update(now clock.Millis, m Member, direct bool) bool {
	name := m.Address.Instance
	if name == "" || name == d.self.Instance {
		return false
	}
	d.mu.Lock()
	old, known := d.members[name]
	if direct || !known {
		d.members[name] = m
	}
	if direct {
		d.lastHeard[name] = now
	}
	d.mu.Unlock()
	if direct || !known {
		d.network.AddPeer(m.Address)
	}
	return m.Core && (!known || !old.Core)
}

// all returns all known instances except this one, sorted by name.
func (d *directory) all() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.SortedFunc(maps.Values(d.members), func(a, b Member) int { return cmp.Compare(a.Address.Instance, b.Address.Instance) })
}

// cores returns all known cores except this instance, sorted by name.
func (d *directory) cores() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Member
	for _, m := range d.members {
		if m.Core {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Address.Instance, b.Address.Instance) })
	return list
}

// liveInstances returns the instances that were heard from within memberTimeout, sorted by name.
func (d *directory) liveInstances(now clock.Millis) []model.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []model.Instance
	for name, heardAt := range d.lastHeard {
		if now-heardAt <= memberTimeout {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// liveCores returns the other cores that were heard from within memberTimeout, sorted by name.
func (d *directory) liveCores(now clock.Millis) []model.Instance {
	live := d.liveInstances(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(live, func(name model.Instance) bool { return !d.members[name].Core })
}

// announceAddress returns the HTTP address of another live core to which a worker should send its
// announcements, or "" if there is none. Most announcements change nothing and need no leader; they
// took a tenth of the leader's CPU time.
func (d *directory) announceAddress(now clock.Millis, id model.WorkerID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for name, m := range d.members {
		if heardAt, ok := d.lastHeard[name]; ok && m.Core && now-heardAt <= memberTimeout {
			list = append(list, m.Address.HTTP)
		}
	}
	if len(list) == 0 {
		return ""
	}
	slices.Sort(list)
	return list[xxhash.Sum64String(string(id))%uint64(len(list))]
}

// nearAddress returns the HTTP address of a live core in the region of a worker to which the worker should send its
// announcements, or "" if it is in the region of this core, or no core but the leader is there.
func (d *directory) nearAddress(now clock.Millis, id model.WorkerID, zone model.Zone, leader model.Instance) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	region := d.self.Region
	for _, m := range d.members {
		if m.Address.Zone == zone && zone != d.self.Zone {
			region = m.Address.Region
		}
	}
	if region == d.self.Region {
		return ""
	}
	var list []string
	for name, m := range d.members {
		if heardAt, ok := d.lastHeard[name]; ok && m.Core && m.Address.Region == region && name != leader && now-heardAt <= memberTimeout {
			list = append(list, m.Address.HTTP)
		}
	}
	if len(list) == 0 {
		return ""
	}
	slices.Sort(list)
	return list[xxhash.Sum64String(string(id))%uint64(len(list))]
}

// removeSilentFronts removes instances without a disk that have been silent for more than four times
// memberTimeout, so that they are not dialled for ever.
func (d *directory) removeSilentFronts(now clock.Millis) {
	d.mu.Lock()
	var silent []model.Instance
	for name, heardAt := range d.lastHeard {
		if now-heardAt > 4*memberTimeout && !d.members[name].Core {
			silent = append(silent, name)
			delete(d.lastHeard, name)
			delete(d.members, name)
		}
	}
	d.mu.Unlock()
	for _, name := range silent {
		d.network.RemovePeer(name)
	}
}
