package spec

import (
	"fmt"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Place is an availability zone that exists, with its region.
type Place struct {
	Zone   model.Zone
	Region model.Region
}

// Check returns the configuration with all defaults filled in and the notes that tell its
// author about them, or the Problems for which it is refused. An empty list of places skips
// the checks of zones, for a library program that does not know them.
func (d Document) Check(places []Place) (Cell, []Note, error) {
	c := &checker{places: make(map[model.Zone]model.Region, len(places)), seen: map[string]bool{}}
	c.cell.named = map[string]model.Work{}
	for _, p := range places {
		c.places[p.Zone] = p.Region
	}
	if len(d.sections) > MaxSections {
		return Cell{}, nil, Problems{{Text: fmt.Sprintf("has %d sections, limit %d", len(d.sections), MaxSections)}}
	}
	for _, s := range d.sorted() {
		c.section(s)
	}
	if !c.seen[string(KindCell)] {
		c.problem(string(KindCell), "version", "is missing, want the version in force plus one")
	}
	if len(c.problems) == 0 {
		c.totals()
	}
	if len(c.problems) > 0 {
		return Cell{}, c.notes, c.problems
	}
	return c.cell, c.notes, nil
}

type checker struct {
	places   map[model.Zone]model.Region
	seen     map[string]bool
	cell     Cell
	problems Problems
	notes    []Note
}

func (c *checker) problem(section, key, format string, args ...any) {
	c.problems = append(c.problems, Problem{section, key, fmt.Sprintf(format, args...)})
}

func (c *checker) note(section, key, format string, args ...any) {
	c.notes = append(c.notes, Note{section, key, fmt.Sprintf(format, args...)})
}

func (c *checker) section(s section) {
	if _, known := table[s.kind]; !known {
		c.problem(s.title(), "", "unknown kind of section, want one of cell, team, service, batch, gang, route, caller")
		return
	}
	c.name(s)
	v := c.values(s)
	base := v.base(s.name)
	switch s.kind {
	case KindCell:
		c.cell.version = uint64(v["version"].n)
	case KindTeam:
		c.cell.teams = append(c.cell.teams, Team{Name: model.Team(s.name), Quota: v.size(), Floor: v.int("floor")})
	case KindService:
		c.work(s, model.Service{Base: base})
	case KindBatch:
		c.work(s, model.Batch{Base: base, Run: v["run"].text, Time: v.millis("time"), Checkpoint: v["checkpoint"].n != 0})
	case KindGang:
		c.work(s, model.Gang{Base: base, Run: v["run"].text, Time: v.millis("time"), Checkpoint: v["checkpoint"].n != 0})
	case KindRoute:
		c.route(s, Route{
			Service: s.name, Deadline: v.millis("deadline"), Queue: v.int("queue"),
			Attempts: v.int("attempts"), Budget: v.int("budget"), Backoff: v.millis("backoff"),
		})
	case KindCaller:
		c.cell.callers = append(c.cell.callers, Caller{
			Name: model.Caller(s.name), Share: v.int("share"), Class: model.Urgency(v["class"].n),
		})
	}
}

// name checks the name of a section. Services, batches and gangs share one set of names,
// because a job is identified by name and run label alone.
func (c *checker) name(s section) {
	space := string(s.kind)
	if isWorkKind(s.kind) {
		space = "work"
	}
	if s.kind == KindCell {
		if s.name != "" {
			c.problem(s.title(), "", "takes no name, want [cell]")
		}
	} else if err := CheckName(s.name); err != nil {
		c.problem(s.title(), "", "name: %v", err)
	} else {
		space += " " + s.name
	}
	if c.seen[space] {
		c.problem(s.title(), "", "is defined more than once; services, batches and gangs share their names")
	}
	c.seen[space] = true
}

func isWorkKind(k Kind) bool {
	return k == KindService || k == KindBatch || k == KindGang
}

// values reads the keys of a section against the table, and fills in the safe defaults.
func (c *checker) values(s section) values {
	out := values{}
	stated := map[string]bool{}
	if len(s.pairs) > MaxKeys {
		c.problem(s.title(), "", "has %d keys, limit %d", len(s.pairs), MaxKeys)
	}
	for _, p := range s.pairs {
		k, ok := findKey(s.kind, p.key)
		switch {
		case !ok:
			c.problem(s.title(), p.key, "unknown key")
		case stated[p.key]:
			c.problem(s.title(), p.key, "is set more than once")
		default:
			stated[p.key] = true
			out[p.key] = c.value(s, k, p.value)
		}
	}
	for _, k := range table[s.kind] {
		if stated[k.name] {
			continue
		}
		if k.required {
			c.problem(s.title(), k.name, "is missing, want %s", k.limits())
		}
		if k.fallback != "" {
			out[k.name], _ = k.unit.read(k.fallback)
			c.note(s.title(), k.name, "is missing, set to %s", k.fallback)
		}
	}
	return out
}

func (c *checker) value(s section, k key, text string) value {
	v, err := k.unit.read(text)
	if err != nil {
		c.problem(s.title(), k.name, "%v", err)
		return value{}
	}
	if k.max > 0 && (v.n < k.min || v.n > k.max) {
		c.problem(s.title(), k.name, "%s is outside the limits, want %s", text, k.limits())
		return value{}
	}
	return v
}

// limits describes what the key accepts.
func (k key) limits() string {
	if k.max == 0 {
		return "a " + string(k.unit)
	}
	return k.unit.print(value{n: k.min}) + " to " + k.unit.print(value{n: k.max})
}

type values map[string]value

func (v values) int(key string) int { return int(v[key].n) }

func (v values) millis(key string) clock.Millis { return clock.Millis(v[key].n) }

func (v values) size() model.Size {
	return model.Size{
		CPU:    model.Millicores(v["cpu"].n),
		Memory: model.Mebibytes(v["memory"].n),
		Accel:  model.Accelerators(v["accel"].n),
	}
}

func (v values) base(name string) model.Base {
	return model.Base{
		Name: name, Team: model.Team(v["team"].text), Zones: slices.Clone(v["zones"].zones),
		Size: v.size(), Urgency: model.Urgency(v["urgency"].n), Count: v.int("count"),
	}
}
