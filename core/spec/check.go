package spec

import (
	"fmt"

	"vanillabridge/core/model"
)

// KnownZone is an existing availability zone and its region.
type KnownZone struct {
	Zone   model.Zone
	Region model.Region
}

// Check validates the document. It returns the configuration with all defaults filled in and
// a note for each of them, or the Problems for which the document is refused. Without
// known zones, the zones of work are not checked, for programs that do not know the zones of the cell.
func (d Document) Check(knownZones []KnownZone) (Cell, []Note, error) {
	c := &checker{regionByZone: make(map[model.Zone]model.Region, len(knownZones)), headerByName: map[string]string{}}
	c.cell.workByName = map[string]model.Work{}
	for _, p := range knownZones {
		c.regionByZone[p.Zone] = p.Region
	}
	if len(d.sections) > MaxSections {
		return Cell{}, nil, Problems{{Text: fmt.Sprintf("has %d sections, limit %d", len(d.sections), MaxSections)}}
	}
	for _, s := range d.sortedSections() {
		c.checkSection(s)
	}
	if _, stated := c.headerByName[string(KindCell)]; !stated {
		c.addProblem(string(KindCell), "version", "is missing, want the version in force plus one")
	}
	if len(c.problems) == 0 {
		c.checkTotals()
	}
	if len(c.problems) > 0 {
		return Cell{}, c.notes, c.problems
	}
	return c.cell, c.notes, nil
}

type checker struct {
	regionByZone map[model.Zone]model.Region
	headerByName map[string]string // header of the first section with each unique name
	cell         Cell
	problems     Problems
	notes        []Note
}

func (c *checker) addProblem(section, key, format string, args ...any) {
	c.problems = append(c.problems, Problem{section, key, fmt.Sprintf(format, args...)})
}

func (c *checker) addNote(section, key, format string, args ...any) {
	c.notes = append(c.notes, Note{section, key, fmt.Sprintf(format, args...)})
}

func (c *checker) checkSection(s section) {
	if s.kind == kindNoHeader {
		c.addProblem("", "", "keys before the first section header, want [cell] above them")
		return
	}
	if _, known := keysByKind[s.kind]; !known {
		c.addProblem(s.header(), "", "unknown kind of section, want one of cell, team, service, batch, gang, route, caller")
		return
	}
	c.checkSectionName(s)
	problemsBefore := len(c.problems)
	v := c.parseValues(s)
	valid := len(c.problems) == problemsBefore
	switch s.kind {
	case KindCell:
		c.cell.version = uint64(v["version"].number)
	case KindTeam:
		c.cell.teams = append(c.cell.teams, v.team(s.name))
	case KindRoute:
		c.checkRoute(s, v.route(s.name), valid)
	case KindCaller:
		c.cell.callers = append(c.cell.callers, v.caller(s.name))
	default:
		c.checkWork(s, v.work(s))
	}
}

// checkSectionName checks the name of a section. Services, batches and gangs share one
// namespace, because a job is identified by name and run label alone.
func (c *checker) checkSectionName(s section) {
	if s.kind == KindCell {
		if s.name != "" {
			c.addProblem(s.header(), "", "takes no name, want [cell]")
		}
	} else if err := CheckName(s.name); err != nil {
		c.addProblem(s.header(), "", "name: %v", err)
		return
	}
	uniqueName := s.header()
	if isWorkKind(s.kind) {
		uniqueName = "work " + s.name
	}
	if first, taken := c.headerByName[uniqueName]; taken {
		c.addProblem(s.header(), "", "the name is taken by [%s]; services, batches and gangs share their names", first)
		return
	}
	c.headerByName[uniqueName] = s.header()
}

func isWorkKind(k Kind) bool {
	return k == KindService || k == KindBatch || k == KindGang
}

// parseValues parses and checks the keys of a section and fills in the defaults.
func (c *checker) parseValues(s section) values {
	out := values{}
	isSet := map[string]bool{}
	if len(s.pairs) > MaxKeysPerSection {
		c.addProblem(s.header(), "", "has %d keys, limit %d", len(s.pairs), MaxKeysPerSection)
	}
	for _, p := range s.pairs {
		k, ok := findKey(s.kind, p.key)
		switch {
		case !ok:
			c.addProblem(s.header(), p.key, "unknown key")
		case isSet[p.key]:
			c.addProblem(s.header(), p.key, "is set more than once")
		default:
			isSet[p.key] = true
			out[p.key] = c.parseValue(s, k, p.value)
		}
	}
	for _, k := range keysByKind[s.kind] {
		if isSet[k.name] {
			continue
		}
		if k.required {
			c.addProblem(s.header(), k.name, "is missing, want %s", k.describeLimits())
		}
		if k.defaultText != "" {
			out[k.name], _ = k.valueType.parse(k.defaultText)
			c.addNote(s.header(), k.name, "is missing, set to %s", k.defaultText)
		}
	}
	return out
}

func (c *checker) parseValue(s section, k keySpec, text string) value {
	v, err := k.valueType.parse(text)
	if err != nil {
		c.addProblem(s.header(), k.name, "%v", err)
		return value{}
	}
	if k.max > 0 && (v.number < k.min || v.number > k.max) {
		c.addProblem(s.header(), k.name, "%s is outside the limits, want %s", text, k.describeLimits())
		return value{}
	}
	return v
}

// describeLimits describes the values that the key accepts.
func (k keySpec) describeLimits() string {
	if k.max == 0 {
		return "a " + string(k.valueType)
	}
	return k.valueType.format(value{number: k.min}) + " to " + k.valueType.format(value{number: k.max})
}
