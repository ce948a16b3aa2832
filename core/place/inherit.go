package place

import "maps"

// UsageHistory holds the measured use and run times of each kind of task. It is immutable.
type UsageHistory struct{ kinds map[kindKey]kind }

// UsageHistory returns the measurements collected so far, for the Config of the scheduler that replaces
// this one.
func (s *Scheduler) UsageHistory() UsageHistory {
	kinds := make(map[kindKey]kind, len(s.kinds))
	for key, k := range s.kinds {
		copied := *k
		copied.unmeasured, copied.jobCount = 0, 0
		kinds[key] = copied
	}
	return UsageHistory{kinds: kinds}
}

// restoreUsageHistory adds the measurements of an earlier scheduler.
func (s *Scheduler) restoreUsageHistory(from UsageHistory) {
	for key, k := range maps.All(from.kinds) {
		s.kinds[key] = &k
	}
}
