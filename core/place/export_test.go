package place

import "vanillabridge/core/model"

// Charge returns what is charged on a worker and what may be charged there.
func (s *Scheduler) Charge(id model.WorkerID) (charged, most model.Size) {
	w := s.workers[id]
	return w.charged, w.usable
}

// Tasks returns how many tasks the scheduler knows to be waiting and on workers.
func (s *Scheduler) Tasks() (waiting, placed int) {
	for _, w := range s.workers {
		placed += len(w.tasks)
	}
	return s.waiting, placed
}

// CheckTables returns what is inconsistent in the sums that the scheduler keeps, or "".
func (s *Scheduler) CheckTables() string {
	var held [3]model.Size
	for _, w := range s.workers {
		var charged model.Size
		for _, t := range w.tasks {
			charged = charged.Plus(t.charge)
			u := t.job.shape.key.class
			held[u] = held[u].Plus(t.charge)
		}
		if charged != w.charged {
			return "charge of worker " + string(w.id)
		}
		if w.pool >= 0 && s.index.pools[w.pool].buckets[w.level][w.slot] != w {
			return "index entry of worker " + string(w.id)
		}
		if w.pool >= 0 && s.index.pools[w.pool].level(w.free()) != int(w.level) {
			return "level of worker " + string(w.id)
		}
	}
	sum := 0
	for _, u := range model.Urgencies() {
		sum += s.classes[u].waiting
		if held[u] != s.classes[u].held {
			return "charge of class " + u.String()
		}
	}
	if sum != s.waiting {
		return "number of waiting tasks"
	}
	return ""
}
