package spec

import (
	"slices"
	"strings"

	"vanillabridge/core/model"
)

// work applies the rules that concern one service, batch or gang alone.
func (c *checker) work(s section, w model.Work) {
	base := w.Common()
	c.cell.work = append(c.cell.work, w)
	c.cell.named[base.Name] = w
	c.zones(s, base)
	switch w := w.(type) {
	case model.Service:
		if base.Count > 0 && base.Count < len(base.Zones) {
			c.note(s.title(), "count", "is %d for %d zones, so some zones have no replica", base.Count, len(base.Zones))
		}
	case model.Batch:
		c.label(s, w.Run, base.Zones)
	case model.Gang:
		c.label(s, w.Run, base.Zones)
	}
}

func (c *checker) zones(s section, base model.Base) {
	for i, z := range base.Zones {
		if slices.Contains(base.Zones[:i], z) {
			c.problem(s.title(), "zones", "zone %s is listed more than once", z)
		}
		if _, exists := c.places[z]; !exists && len(c.places) > 0 {
			c.problem(s.title(), "zones", "unknown zone %s, want one of %s", z, c.zoneNames())
		}
	}
	if base.Urgency == model.Urgent && len(c.places) > 0 && c.inOneRegion(base.Zones) {
		c.note(s.title(), "zones", "urgent work with all zones in one region stops when that region is lost")
	}
}

// inOneRegion reports whether the zones share one region although there are others.
func (c *checker) inOneRegion(zones []model.Zone) bool {
	other := false
	for _, region := range c.places {
		other = other || (len(zones) > 0 && region != c.places[zones[0]])
	}
	return other && !slices.ContainsFunc(zones, func(z model.Zone) bool { return c.places[z] != c.places[zones[0]] })
}

func (c *checker) zoneNames() string {
	names := make([]string, 0, len(c.places))
	for z := range c.places {
		names = append(names, string(z))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func (c *checker) label(s section, run string, zones []model.Zone) {
	prefix, _, ok := strings.Cut(run, ":")
	if ok && !slices.Contains(zones, model.Zone(prefix)) {
		c.note(s.title(), "run", "%s is not in zones, so a hash chooses the zone that owns the run", prefix)
	}
}

// route checks that retries end before the deadline: a later one would only add load.
func (c *checker) route(s section, r Route, readable bool) {
	c.cell.routes = append(c.cell.routes, r)
	if !readable {
		return
	}
	// The waits are backoff, 2*backoff, 4*backoff and so on.
	waits := r.Backoff * ((1 << (r.Attempts - 1)) - 1)
	if waits > 0 && waits >= r.Deadline {
		c.problem(s.title(), "backoff", "the waits of %d attempts take %s, want less than the deadline %s",
			r.Attempts, printDuration(waits), printDuration(r.Deadline))
	}
}

// totals applies the rules that concern several sections. It runs only on values within the
// limits of the table, so that its sums cannot overflow.
func (c *checker) totals() {
	quotas := make(map[model.Team]model.Size, len(c.cell.teams))
	floors := 0
	for _, t := range c.cell.teams {
		quotas[t.Name] = t.Quota
		floors += t.Floor
	}
	if floors > 100 {
		c.problem("team", "floor", "all floors together are %d%%, limit 100%%", floors)
	}
	tasks := 0
	services := map[model.Team]model.Size{}
	for _, w := range c.cell.work {
		tasks += w.Common().Count
		c.quota(w, quotas)
		if s, ok := w.(model.Service); ok {
			services[s.Team] = services[s.Team].Plus(s.Size.Times(int64(s.Count)))
		}
	}
	if tasks > MaxTasks {
		c.problem("", "count", "all work together has %d tasks, limit %d", tasks, MaxTasks)
	}
	for _, t := range c.cell.teams {
		if need := services[t.Name]; !need.Fits(t.Quota) {
			c.problem("team "+string(t.Name), "", "its services together need %s, quota %s", need, t.Quota)
		}
	}
	c.remarkRoutes()
}

// quota refuses work that can never run within the quota of its team.
func (c *checker) quota(w model.Work, quotas map[model.Team]model.Size) {
	base := w.Common()
	title := titleOf(w)
	quota, ok := quotas[base.Team]
	if !ok {
		c.problem(title, "team", "unknown team %s, want a section [team %s]", base.Team, base.Team)
		return
	}
	if base.Size.Accel > quota.Accel {
		c.problem(title, "accel", "is %d for each task, quota of team %s is %d; set accel in [team %s]", base.Size.Accel, base.Team, quota.Accel, base.Team)
		return
	}
	if !base.Size.Fits(quota) {
		c.problem(title, "", "one task needs %s, quota of team %s is %s", base.Size, base.Team, quota)
		return
	}
	_, gang := w.(model.Gang)
	if need := base.Size.Times(int64(base.Count)); gang && !need.Fits(quota) {
		c.problem(title, "count", "%d tasks that start together need %s, quota of team %s is %s", base.Count, need, base.Team, quota)
	}
}

func (c *checker) remarkRoutes() {
	for _, r := range c.cell.routes {
		w, ok := c.cell.FindWork(r.Service)
		if _, isService := w.(model.Service); !ok || !isService {
			c.note("route "+r.Service, "", "no [service %s] here; backend servers must announce that service", r.Service)
		}
	}
}

func titleOf(w model.Work) string {
	kind := KindService
	switch w.(type) {
	case model.Batch:
		kind = KindBatch
	case model.Gang:
		kind = KindGang
	}
	return string(kind) + " " + w.Common().Name
}
