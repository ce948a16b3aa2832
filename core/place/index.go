package place

import "vanillabridge/core/model"

// index groups the workers that may get tasks into buckets by free capacity in the scarcest
// dimension, relative to the largest worker. Workers with accelerators form a separate pool.
type index struct {
	pools [2]pool
}

type pool struct {
	reference model.Size // largest usable capacity in each dimension
	buckets   [indexLevels][]*worker
	count     int
}

func poolOf(size model.Size) int {
	if size.Accel > 0 {
		return 1
	}
	return 0
}

// level returns the bucket for a free capacity, given by the lowest fraction of reference over the
// dimensions.
func (p *pool) level(free model.Size) int {
	least := levelOf(int64(free.CPU), int64(p.reference.CPU))
	least = min(least, levelOf(int64(free.Memory), int64(p.reference.Memory)))
	if p.reference.Accel > 0 {
		least = min(least, levelOf(int64(free.Accel), int64(p.reference.Accel)))
	}
	return least
}

// sufficientLevel returns the lowest level at which every worker has at least need free in each
// dimension.
func (p *pool) sufficientLevel(need model.Size) int {
	most := levelOf(int64(need.CPU), int64(p.reference.CPU))
	most = max(most, levelOf(int64(need.Memory), int64(p.reference.Memory)))
	if p.reference.Accel > 0 {
		most = max(most, levelOf(int64(need.Accel), int64(p.reference.Accel)))
	}
	return min(most+1, indexLevels-1)
}

func levelOf(part, whole int64) int {
	if whole <= 0 {
		return indexLevels - 1
	}
	return int(min(max(part*(indexLevels-1)/whole, 0), indexLevels-1))
}

func (x *index) remove(w *worker) {
	if w.pool < 0 {
		return
	}
	p := &x.pools[w.pool]
	bucket := p.buckets[w.level]
	last := bucket[len(bucket)-1]
	bucket[w.slot], last.slot = last, w.slot
	bucket[len(bucket)-1] = nil
	p.buckets[w.level] = bucket[:len(bucket)-1]
	p.count--
	w.pool = -1
}

func (x *index) insert(w *worker) {
	n := poolOf(w.size)
	p := &x.pools[n]
	level := p.level(w.free())
	w.pool, w.level, w.slot = int32(n), int32(level), int32(len(p.buckets[level]))
	p.buckets[level] = append(p.buckets[level], w)
	p.count++
}

// update moves the worker to the bucket for its free capacity.
func (x *index) update(w *worker) {
	if w.pool < 0 {
		return
	}
	if x.pools[w.pool].level(w.free()) == int(w.level) {
		return
	}
	x.remove(w)
	x.insert(w)
}

// growReference raises the reference of a pool to the size of a new worker. If it changes, all
// workers of the pool are put into their new buckets.
func (x *index) growReference(size model.Size) {
	p := &x.pools[poolOf(size)]
	ref := p.reference.Max(usableSize(size))
	if ref == p.reference {
		return
	}
	p.reference = ref
	var all []*worker
	for level := range p.buckets {
		all = append(all, p.buckets[level]...)
	}
	for _, w := range all {
		x.remove(w)
	}
	for _, w := range all {
		x.insert(w)
	}
}

// visitCandidates calls accept for workers of a pool until it has accepted maxCandidates or visited
// maxExamined of them. The fullest workers that may have enough free capacity come first; after half
// of maxExamined, the visit continues with workers that certainly have enough.
func (s *Scheduler) visitCandidates(need model.Size, poolIndex int, accept func(*worker) bool) {
	p := &s.index.pools[poolIndex]
	if p.count == 0 {
		return
	}
	found, visited := 0, 0
	from, sufficient := p.level(need), p.sufficientLevel(need)
	visit := func(level, bound int) {
		bucket := p.buckets[level]
		if len(bucket) == 0 {
			return
		}
		offset := s.rng.IntN(len(bucket))
		for i := range bucket {
			if found >= maxCandidates || visited >= bound {
				return
			}
			visited++
			if accept(bucket[(offset+i)%len(bucket)]) {
				found++
			}
		}
	}
	for level := from; level < sufficient; level++ {
		visit(level, maxExamined/2)
	}
	for level := sufficient; level < indexLevels; level++ {
		visit(level, maxExamined)
	}
}
