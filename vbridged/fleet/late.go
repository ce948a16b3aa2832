package fleet

import (
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// announcements holds the newest announcement that this core got from each worker. The state has only those that
// changed something, so by itself it would take an announcement that was held up for a newer one.
type announcements map[model.WorkerID]announcementID

// announcementID identifies an announcement of an incarnation of a worker.
type announcementID struct {
	worker flow.Incarnation
	seq    uint64
}

// isLate records an announcement, and reports whether a newer one of the worker has arrived before it.
func (a announcements) isLate(w flow.Worker) bool {
	newest, known := a[w.ID]
	if known && (newest.worker.IsLaterThan(w.Incarnation()) || (newest.worker == w.Incarnation() && w.Seq < newest.seq)) {
		return true
	}
	a[w.ID] = announcementID{w.Incarnation(), w.Seq}
	return false
}

// forget drops the workers that are not in the state any more.
func (a announcements) forget(workers map[model.WorkerID]flow.Worker) {
	for id := range a {
		if _, ok := workers[id]; !ok {
			delete(a, id)
		}
	}
}
