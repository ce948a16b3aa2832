package model

import (
	"hash/fnv"
	"strings"
)

// OwnerZone returns the zone that owns a key: the zone that prefixes the label ("zone:rest")
// if it is one of zones, else the zone with the highest rendezvous hash of key. Every
// instance gets the same answer for the same zones, in whatever order they are listed.
func OwnerZone(key, label string, zones []Zone) Zone {
	if prefix, _, ok := strings.Cut(label, ":"); ok {
		for _, z := range zones {
			if string(z) == prefix {
				return z
			}
		}
	}
	var owner Zone
	var best uint64
	for _, z := range zones {
		score := rendezvous(key, z)
		if owner == "" || score > best || (score == best && z < owner) {
			owner, best = z, score
		}
	}
	return owner
}

func rendezvous(key string, z Zone) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(z))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return mix(h.Sum64())
}

// mix spreads the bits of an FNV hash: its high bits alone barely depend on the last bytes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
