package plan

import (
	"slices"

	"vanillabridge/core/model"
)

const (
	// freeBucketSize is the width of a bucket of freeIndex.
	freeBucketSize model.Millicores = 1000
	// maxFreeBuckets bounds the number of buckets; the last one holds all larger workers.
	maxFreeBuckets = 64
)

// freeIndex holds the schedulable workers of a pool by their free processor capacity at the start of a
// pass. A search that begins with the emptiest workers visits few of a large pool.
type freeIndex [maxFreeBuckets][]*worker

// indexByFree returns the index of a pool, and builds it on first use in a pass.
func (ps *pass) indexByFree(pool string) *freeIndex {
	if index := ps.byFree[pool]; index != nil {
		return index
	}
	index := &freeIndex{}
	for _, w := range ps.schedulable[pool] {
		bucket := min(max(w.freeCapacity().CPU, 0)/freeBucketSize, maxFreeBuckets-1)
		index[bucket] = append(index[bucket], w)
	}
	ps.byFree[pool] = index
	return index
}

// rotate moves the first elements of a list to its end, as many as offset modulo its length. Calls that follow
// each other then prefer different ones among workers with as many free slots: the emptiest of all would be
// named by every call, and taken when its answer comes.
func rotate(list []workerSlots, offset int) {
	if len(list) == 0 {
		return
	}
	n := offset % len(list)
	slices.Reverse(list[:n])
	slices.Reverse(list[n:])
	slices.Reverse(list)
}

// visit calls f for the workers with at least the given free processor capacity, those with most of it
// first, until f returns false. Within a bucket it begins at a place that depends on offset.
func (index *freeIndex) visit(atLeast model.Millicores, offset int, f func(*worker) bool) {
	lowest := int(min(max(atLeast, 0)/freeBucketSize, maxFreeBuckets-1))
	for bucket := maxFreeBuckets - 1; bucket >= lowest; bucket-- {
		list := index[bucket]
		for i := range list {
			if !f(list[(i+offset)%len(list)]) {
				return
			}
		}
	}
}
