package model

import (
	"hash/fnv"
	"strings"
)

// OwnerZone returns the zone that owns a key: the zone in the prefix of the label ("zone:rest")
// if it is one of zones, otherwise the zone with the highest rendezvous hash of key. The result
// does not depend on the order of zones, so that all instances agree on the owner.
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
		score := rendezvousHash(key, z)
		if owner == "" || score > best || (score == best && z < owner) {
			owner, best = z, score
		}
	}
	return owner
}

func rendezvousHash(key string, z Zone) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(z))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return mixBits(h.Sum64())
}

// mixBits is the finalizer of MurmurHash3. The high bits of an FNV hash, which decide a
// comparison, depend little on the last bytes of the input.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
