package relay

import "vanillabridge/core/model"

// Core is a core that may carry calls to workers.
type Core struct {
	Instance model.Instance
	Zone     model.Zone
	Region   model.Region
	// Live is set while the core can carry calls.
	Live bool
}

// Map assigns workers to cores. It is immutable. The zero value assigns none.
type Map struct {
	cores    []Core
	byZone   map[model.Zone][]Core
	byRegion map[model.Region][]Core
	regions  map[model.Zone]model.Region
}

// NewMap returns the assignment to these cores. Regions gives the region of each zone; a zone that it lacks belongs to
// no region with cores.
func NewMap(cores []Core, regions map[model.Zone]model.Region) Map {
	m := Map{cores: cores, byZone: map[model.Zone][]Core{}, byRegion: map[model.Region][]Core{}, regions: regions}
	for _, c := range cores {
		m.byZone[c.Zone] = append(m.byZone[c.Zone], c)
		m.byRegion[c.Region] = append(m.byRegion[c.Region], c)
	}
	return m
}

// Relay returns the core that carries the calls to a worker of a zone: a live one of that zone, else of its region, else
// any. It reports false if no core is live.
//
// Among several cores the one with the highest hash of worker and core is taken, so that the loss of a core moves no
// worker but its own, and its return moves just these back.
func (m Map) Relay(id model.WorkerID, zone model.Zone) (model.Instance, bool) {
	candidates := [][]Core{m.byZone[zone], nil, m.cores}
	if region, known := m.regions[zone]; known {
		candidates[1] = m.byRegion[region]
	}
	for _, list := range candidates {
		if name, ok := pick(list, id); ok {
			return name, true
		}
	}
	return "", false
}

func pick(list []Core, id model.WorkerID) (model.Instance, bool) {
	var best model.Instance
	var highest uint64
	found := false
	for _, c := range list {
		if !c.Live {
			continue
		}
		if w := weight(id, c.Instance); !found || w > highest || (w == highest && c.Instance < best) {
			best, highest, found = c.Instance, w, true
		}
	}
	return best, found
}

// weight hashes a worker and a core. The last steps spread the bits of the sum, whose high ones hardly depend on the
// last bytes of a short name.
func weight(id model.WorkerID, core model.Instance) uint64 {
	// FNV-1a
	x := uint64(0xcbf29ce484222325)
	for _, s := range []string{string(core), "\x00", string(id)} {
		for i := range len(s) {
			x = (x ^ uint64(s[i])) * 0x100000001b3
		}
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
