package spec

import (
	"fmt"

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
	c := &checker{places: make(map[model.Zone]model.Region, len(places)), seen: map[string]string{}}
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
	if _, stated := c.seen[string(KindCell)]; !stated {
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
	seen     map[string]string // by set of names and name: the first section
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
	if s.kind == noHeader {
		c.problem("", "", "keys stand before the first section, want [cell] above them")
		return
	}
	if _, known := table[s.kind]; !known {
		c.problem(s.title(), "", "unknown kind of section, want one of cell, team, service, batch, gang, route, caller")
		return
	}
	c.name(s)
	before := len(c.problems)
	v := c.values(s)
	readable := len(c.problems) == before
	switch s.kind {
	case KindCell:
		c.cell.version = uint64(v["version"].n)
	case KindTeam:
		c.cell.teams = append(c.cell.teams, v.team(s.name))
	case KindRoute:
		c.route(s, v.route(s.name), readable)
	case KindCaller:
		c.cell.callers = append(c.cell.callers, v.caller(s.name))
	default:
		c.work(s, v.work(s))
	}
}

// name checks the name of a section. Services, batches and gangs share one set of names,
// because a job is identified by name and run label alone.
func (c *checker) name(s section) {
	if s.kind == KindCell {
		if s.name != "" {
			c.problem(s.title(), "", "takes no name, want [cell]")
		}
	} else if err := CheckName(s.name); err != nil {
		c.problem(s.title(), "", "name: %v", err)
		return
	}
	space := s.title()
	if isWorkKind(s.kind) {
		space = "work " + s.name
	}
	if first, taken := c.seen[space]; taken {
		c.problem(s.title(), "", "the name is taken by [%s]; services, batches and gangs share their names", first)
		return
	}
	c.seen[space] = s.title()
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
