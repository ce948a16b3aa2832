package place

import "vanillabridge/core/model"

// index buckets the eligible workers by free amount in their scarcest dimension, relative to the
// largest worker. Workers with accelerators form a pool of their own.
type index struct {
	pools [2]pool
}

type pool struct {
	ref     model.Size // largest usable amount in each dimension
	buckets [levels][]*worker
	count   int
}

func poolOf(size model.Size) int {
	if size.Accel > 0 {
		return 1
	}
	return 0
}

// level returns the bucket of an amount: the least fraction of ref over the dimensions.
func (p *pool) level(free model.Size) int {
	least := fraction(int64(free.CPU), int64(p.ref.CPU))
	least = min(least, fraction(int64(free.Memory), int64(p.ref.Memory)))
	if p.ref.Accel > 0 {
		least = min(least, fraction(int64(free.Accel), int64(p.ref.Accel)))
	}
	return least
}

// top returns the level from which on a worker surely has the need in each dimension.
func (p *pool) top(need model.Size) int {
	most := fraction(int64(need.CPU), int64(p.ref.CPU))
	most = max(most, fraction(int64(need.Memory), int64(p.ref.Memory)))
	if p.ref.Accel > 0 {
		most = max(most, fraction(int64(need.Accel), int64(p.ref.Accel)))
	}
	return min(most+1, levels-1)
}

func fraction(part, whole int64) int {
	if whole <= 0 {
		return levels - 1
	}
	return int(min(max(part*(levels-1)/whole, 0), levels-1))
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

// update moves the worker to the bucket of its free amount.
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

// grow adapts the reference amounts to a new worker and sorts all workers anew if they change.
func (x *index) grow(size model.Size) {
	p := &x.pools[poolOf(size)]
	ref := p.ref.Max(usable(size))
	if ref == p.ref {
		return
	}
	p.ref = ref
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

// search offers workers to take until it has taken enough or the bound on examined workers is
// reached. The fullest workers come first; once half of the bound is used up in vain, the search
// goes on with those that surely have the room.
func (s *Scheduler) search(need model.Size, n int, take func(*worker) bool) {
	p := &s.index.pools[n]
	if p.count == 0 {
		return
	}
	found, looked := 0, 0
	from, sure := p.level(need), p.top(need)
	visit := func(level, bound int) {
		bucket := p.buckets[level]
		if len(bucket) == 0 {
			return
		}
		offset := s.random.IntN(len(bucket))
		for i := range bucket {
			if found >= candidates || looked >= bound {
				return
			}
			looked++
			if take(bucket[(offset+i)%len(bucket)]) {
				found++
			}
		}
	}
	for level := from; level < sure; level++ {
		visit(level, examined/2)
	}
	for level := sure; level < levels; level++ {
		visit(level, examined)
	}
}
