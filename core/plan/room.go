package plan

import "slices"

// room is how many more tasks of a step fit on a worker.
type room struct {
	w *worker
	n int
}

// mostRanks is the number of tasks from which on more room makes no difference to the order.
const mostRanks = 64

// byRoom returns the rooms with most room first, equal ones in their order. It counts instead of
// comparing, because it runs for every step that waits. The result is valid until the next call.
func (p *Planner) byRoom(list []room) []room {
	var at [mostRanks + 1]int
	for _, r := range list {
		at[min(r.n, mostRanks)]++
	}
	next := 0
	for n := mostRanks; n >= 0; n-- {
		at[n], next = next, next+at[n]
	}
	p.sorted = slices.Grow(p.sorted[:0], len(list))[:len(list)]
	for _, r := range list {
		n := min(r.n, mostRanks)
		p.sorted[at[n]] = r
		at[n]++
	}
	return p.sorted
}
