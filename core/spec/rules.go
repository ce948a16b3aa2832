package spec

import (
	"slices"
	"strings"

	"vanillabridge/core/model"
)

// checkWork checks one service, batch or gang without regard to other sections.
func (c *checker) checkWork(s section, w model.Work) {
	base := w.Common()
	c.cell.work = append(c.cell.work, w)
	c.cell.workByName[base.Name] = w
	c.checkZones(s, base)
	switch w := w.(type) {
	case model.Service:
		if base.Count > 0 && base.Count < len(base.Zones) {
			c.addNote(s.header(), "count", "is %d for %d zones, so some zones have no replica", base.Count, len(base.Zones))
		}
	case model.Batch:
		c.checkRunLabel(s, w.Run, base.Zones)
	case model.Gang:
		c.checkRunLabel(s, w.Run, base.Zones)
	}
}

func (c *checker) checkZones(s section, base model.Base) {
	for i, z := range base.Zones {
		if slices.Contains(base.Zones[:i], z) {
			c.addProblem(s.header(), "zones", "zone %s is listed more than once", z)
		}
		if _, exists := c.regionByZone[z]; !exists && len(c.regionByZone) > 0 {
			c.addProblem(s.header(), "zones", "unknown zone %s, want one of %s", z, c.knownZoneNames())
		}
	}
	if base.Urgency == model.Urgent && len(c.regionByZone) > 0 && c.inOneRegion(base.Zones) {
		c.addNote(s.header(), "zones", "urgent work with all zones in one region stops when that region is lost")
	}
}

// inOneRegion reports whether all zones are in the same region although other regions exist.
func (c *checker) inOneRegion(zones []model.Zone) bool {
	hasOtherRegion := false
	for _, region := range c.regionByZone {
		hasOtherRegion = hasOtherRegion || (len(zones) > 0 && region != c.regionByZone[zones[0]])
	}
	return hasOtherRegion && !slices.ContainsFunc(zones, func(z model.Zone) bool { return c.regionByZone[z] != c.regionByZone[zones[0]] })
}

func (c *checker) knownZoneNames() string {
	names := make([]string, 0, len(c.regionByZone))
	for z := range c.regionByZone {
		names = append(names, string(z))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func (c *checker) checkRunLabel(s section, run string, zones []model.Zone) {
	prefix, _, ok := strings.Cut(run, ":")
	if ok && !slices.Contains(zones, model.Zone(prefix)) {
		c.addNote(s.header(), "run", "%s is not in zones, so a hash chooses the zone that owns the run", prefix)
	}
}

// checkRoute checks that all retries start before the deadline: a later one would only add load.
func (c *checker) checkRoute(s section, r Route, valid bool) {
	c.cell.routes = append(c.cell.routes, r)
	if !valid {
		return
	}
	// The backoff doubles: the waits are backoff, 2*backoff, 4*backoff and so on.
	waits := r.Backoff * ((1 << (r.Attempts - 1)) - 1)
	if waits > 0 && waits >= r.Deadline {
		c.addProblem(s.header(), "backoff", "the waits of %d attempts take %s, want less than the deadline %s",
			r.Attempts, formatDuration(waits), formatDuration(r.Deadline))
	}
}

// checkTotals checks the rules that span several sections. It runs only if all values are
// within the limits of their keys, so that its sums cannot overflow.
func (c *checker) checkTotals() {
	quotas := make(map[model.Team]model.Size, len(c.cell.teams))
	floors := 0
	for _, t := range c.cell.teams {
		quotas[t.Name] = t.Quota
		floors += t.Floor
	}
	if floors > 100 {
		c.addProblem("team", "floor", "all floors together are %d%%, limit 100%%", floors)
	}
	tasks := 0
	services := map[model.Team]model.Size{}
	for _, w := range c.cell.work {
		tasks += w.Common().Count
		c.checkQuota(w, quotas)
		if s, ok := w.(model.Service); ok {
			services[s.Team] = services[s.Team].Plus(s.Size.Times(int64(s.Count)))
		}
	}
	if tasks > MaxTotalTasks {
		c.addProblem("", "count", "all work together has %d tasks, limit %d", tasks, MaxTotalTasks)
	}
	for _, t := range c.cell.teams {
		if need := services[t.Name]; !need.FitsIn(t.Quota) {
			c.addProblem("team "+string(t.Name), "", "its services together need %s, quota %s", need, t.Quota)
		}
	}
	c.noteRoutesWithoutService()
}

// checkQuota reports work that can never run within the quota of its team.
func (c *checker) checkQuota(w model.Work, quotas map[model.Team]model.Size) {
	base := w.Common()
	header := workHeader(w)
	quota, ok := quotas[base.Team]
	if !ok {
		c.addProblem(header, "team", "unknown team %s, want a section [team %s]", base.Team, base.Team)
		return
	}
	if base.Size.Accel > quota.Accel {
		c.addProblem(header, "accel", "is %d for each task, quota of team %s is %d; set accel in [team %s]", base.Size.Accel, base.Team, quota.Accel, base.Team)
		return
	}
	if !base.Size.FitsIn(quota) {
		c.addProblem(header, "", "one task needs %s, quota of team %s is %s", base.Size, base.Team, quota)
		return
	}
	_, gang := w.(model.Gang)
	if need := base.Size.Times(int64(base.Count)); gang && !need.FitsIn(quota) {
		c.addProblem(header, "count", "%d tasks that start together need %s, quota of team %s is %s", base.Count, need, base.Team, quota)
	}
}

func (c *checker) noteRoutesWithoutService() {
	for _, r := range c.cell.routes {
		w, ok := c.cell.FindWork(r.Service)
		if _, isService := w.(model.Service); !ok || !isService {
			c.addNote("route "+r.Service, "", "no [service %s] here; backend servers must announce that service", r.Service)
		}
	}
}

func workHeader(w model.Work) string {
	kind := KindService
	switch w.(type) {
	case model.Batch:
		kind = KindBatch
	case model.Gang:
		kind = KindGang
	}
	return string(kind) + " " + w.Common().Name
}
