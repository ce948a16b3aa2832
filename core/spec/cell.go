package spec

import (
	"cmp"
	"slices"

	"vanillabridge/core/model"
)

// Cell is a configuration that Check has accepted, with all defaults filled in. It is
// immutable; the slices that its methods return are copies.
type Cell struct {
	version uint64
	teams   []Team
	work    []model.Work
	routes  []Route
	callers []Caller
	named   map[string]model.Work
}

// Version returns the version of the configuration.
func (c Cell) Version() uint64 { return c.version }

// Base returns the version that this one replaces.
func (c Cell) Base() uint64 { return c.version - 1 }

// Teams returns the teams by name.
func (c Cell) Teams() []Team { return slices.Clone(c.teams) }

// Work returns the services, batches and gangs, each kind by name.
func (c Cell) Work() []model.Work { return slices.Clone(c.work) }

// Routes returns the routes by service.
func (c Cell) Routes() []Route { return slices.Clone(c.routes) }

// Callers returns the callers by name.
func (c Cell) Callers() []Caller { return slices.Clone(c.callers) }

// FindTeam returns the team of that name.
func (c Cell) FindTeam(name model.Team) (Team, bool) {
	i, ok := slices.BinarySearchFunc(c.teams, name, func(t Team, n model.Team) int { return cmp.Compare(t.Name, n) })
	return at(c.teams, i, ok)
}

// FindWork returns the service, batch or gang of that name.
func (c Cell) FindWork(name string) (model.Work, bool) {
	w, ok := c.named[name]
	return w, ok
}

// FindRoute returns the route to a service.
func (c Cell) FindRoute(service string) (Route, bool) {
	i, ok := slices.BinarySearchFunc(c.routes, service, func(r Route, n string) int { return cmp.Compare(r.Service, n) })
	return at(c.routes, i, ok)
}

// FindCaller returns the caller of that name.
func (c Cell) FindCaller(name model.Caller) (Caller, bool) {
	i, ok := slices.BinarySearchFunc(c.callers, name, func(one Caller, n model.Caller) int { return cmp.Compare(one.Name, n) })
	return at(c.callers, i, ok)
}

func at[T any](list []T, i int, ok bool) (T, bool) {
	if !ok {
		var none T
		return none, false
	}
	return list[i], true
}

// Document returns the configuration as a document that states every default.
func (c Cell) Document() Document {
	sections := []section{cellSection(c.version)}
	for _, t := range c.teams {
		sections = append(sections, teamSection(t))
	}
	for _, w := range c.work {
		sections = append(sections, workSection(w))
	}
	for _, r := range c.routes {
		sections = append(sections, routeSection(r))
	}
	for _, one := range c.callers {
		sections = append(sections, callerSection(one))
	}
	return Document{sections: sections}
}
