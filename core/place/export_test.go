package place

import "vanillabridge/core/model"

// WorkerCharge returns the sum of the charges on a worker and its usable capacity.
func (s *Scheduler) WorkerCharge(id model.WorkerID) (charged, most model.Size) {
	w := s.workers[id]
	return w.charged, w.usable
}

// CountTasks returns the numbers of waiting tasks and of tasks on workers.
func (s *Scheduler) CountTasks() (waiting, placed int) {
	for _, w := range s.workers {
		placed += len(w.tasks)
	}
	return s.waitingTasks, placed
}

// CheckInvariants names the first inconsistent sum or index entry of the scheduler, or returns "".
func (s *Scheduler) CheckInvariants() string {
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
		sum += s.classes[u].waitingTasks
		if held[u] != s.classes[u].charged {
			return "charge of class " + u.String()
		}
	}
	if sum != s.waitingTasks {
		return "number of waiting tasks"
	}
	return ""
}
