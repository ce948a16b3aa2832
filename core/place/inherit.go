package place

import "maps"

// Learned is what a scheduler has learned of the use and run time of each kind of task. It is
// immutable.
type Learned struct{ kinds map[kindKey]kind }

// Learned returns what was learned so far, for the scheduler that takes this one's place.
func (s *Scheduler) Learned() Learned {
	kinds := make(map[kindKey]kind, len(s.kinds))
	for key, k := range s.kinds {
		copied := *k
		copied.unmeasured, copied.jobs = 0, 0
		kinds[key] = copied
	}
	return Learned{kinds: kinds}
}

// inherit takes over what an earlier scheduler has learned.
func (s *Scheduler) inherit(from Learned) {
	for key, k := range maps.All(from.kinds) {
		s.kinds[key] = &k
	}
}
