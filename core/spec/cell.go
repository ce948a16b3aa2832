package spec

import (
	"cmp"
	"slices"

	"vanillabridge/core/model"
)

// Cell is a validated configuration with all defaults filled in. It is immutable; its methods
// return copies of its slices.
type Cell struct {
	version    uint64
	teams      []Team
	work       []model.Work
	routes     []Route
	callers    []Caller
	workByName map[string]model.Work
}

// Version returns the version of the configuration.
func (c Cell) Version() uint64 { return c.version }

// BaseVersion returns the version that this configuration replaces.
func (c Cell) BaseVersion() uint64 { return c.version - 1 }

// Teams returns the teams, ordered by name.
func (c Cell) Teams() []Team { return slices.Clone(c.teams) }

// Work returns the services, batches and gangs in this order, each kind ordered by name.
func (c Cell) Work() []model.Work { return slices.Clone(c.work) }

// Routes returns the routes, ordered by service.
func (c Cell) Routes() []Route { return slices.Clone(c.routes) }

// Callers returns the callers, ordered by name.
func (c Cell) Callers() []Caller { return slices.Clone(c.callers) }

// FindTeam returns the team with the given name.
func (c Cell) FindTeam(name model.Team) (Team, bool) {
	i, ok := slices.BinarySearchFunc(c.teams, name, func(t Team, n model.Team) int { return cmp.Compare(t.Name, n) })
	return elementAt(c.teams, i, ok)
}

// FindWork returns the service, batch or gang with the given name.
func (c Cell) FindWork(name string) (model.Work, bool) {
	w, ok := c.workByName[name]
	return w, ok
}

// FindRoute returns the route to a service.
func (c Cell) FindRoute(service string) (Route, bool) {
	i, ok := slices.BinarySearchFunc(c.routes, service, func(r Route, n string) int { return cmp.Compare(r.Service, n) })
	return elementAt(c.routes, i, ok)
}

// FindCaller returns the caller with the given name.
func (c Cell) FindCaller(name model.Caller) (Caller, bool) {
	i, ok := slices.BinarySearchFunc(c.callers, name, func(caller Caller, n model.Caller) int { return cmp.Compare(caller.Name, n) })
	return elementAt(c.callers, i, ok)
}

func elementAt[T any](list []T, i int, ok bool) (T, bool) {
	if !ok {
		var none T
		return none, false
	}
	return list[i], true
}

// Document returns the configuration as a document that sets every default explicitly.
func (c Cell) Document() Document {
	sections := []section{newCellSection(c.version)}
	for _, t := range c.teams {
		sections = append(sections, newTeamSection(t))
	}
	for _, w := range c.work {
		sections = append(sections, newWorkSection(w))
	}
	for _, r := range c.routes {
		sections = append(sections, newRouteSection(r))
	}
	for _, caller := range c.callers {
		sections = append(sections, newCallerSection(caller))
	}
	return Document{sections: sections}
}
