package plan

import "slices"

// workerSlots is a worker with the number of tasks of a step that fit on it.
type workerSlots struct {
	worker *worker
	slots  int
}

// maxRankedSlots is the number of slots from which on more slots don't change the order.
const maxRankedSlots = 64

// sortBySlots returns the list sorted by slots, highest first, with equal ones in their order. It is a
// counting sort, because it runs for every waiting step. The result is valid until the next call.
func (p *Planner) sortBySlots(list []workerSlots) []workerSlots {
	var offset [maxRankedSlots + 1]int
	for _, r := range list {
		offset[min(r.slots, maxRankedSlots)]++
	}
	total := 0
	for n := maxRankedSlots; n >= 0; n-- {
		offset[n], total = total, total+offset[n]
	}
	p.sortScratch = slices.Grow(p.sortScratch[:0], len(list))[:len(list)]
	for _, r := range list {
		n := min(r.slots, maxRankedSlots)
		p.sortScratch[offset[n]] = r
		offset[n]++
	}
	return p.sortScratch
}
