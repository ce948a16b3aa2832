package spec

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Kind is the kind of a section of a document.
type Kind string

// The kinds of sections.
const (
	KindCell    Kind = "cell"
	KindTeam    Kind = "team"
	KindService Kind = "service"
	KindBatch   Kind = "batch"
	KindGang    Kind = "gang"
	KindRoute   Kind = "route"
	KindCaller  Kind = "caller"
)

// Kinds lists the kinds of sections in the order in which they are printed.
func Kinds() []Kind {
	return []Kind{KindCell, KindTeam, KindService, KindBatch, KindGang, KindRoute, KindCaller}
}

// Team is a group of users that share a resource quota.
type Team struct {
	Name  model.Team
	Quota model.Size
	Floor int // guaranteed percentage of the cell while the team has work waiting
}

// Route configures access to a service through the entry instances.
type Route struct {
	Service  string
	Deadline clock.Millis // default and maximum deadline of a request
	Queue    int          // maximum number of requests waiting at one entry instance
	Attempts int          // maximum attempts of one idempotent request, including the first
	Budget   int          // retry budget in percent of requests
	Backoff  clock.Millis // wait before the first retry; doubled for each further one
}

// Caller configures a known caller of routes.
type Caller struct {
	Name  model.Caller
	Share int           // weight among the callers of its class
	Class model.Urgency // highest urgency that its requests may claim
}

// Document is a configuration that has not been validated: it may be incomplete or invalid
// until Check accepts it. It is immutable; With methods return modified copies.
type Document struct {
	sections []section
}

type section struct {
	kind  Kind
	name  string
	pairs []pair
}

type pair struct{ key, value string }

// New returns an empty document of the given version. It replaces version-1.
func New(version uint64) Document {
	return Document{}.WithVersion(version)
}

// WithVersion returns a copy with the given version. It replaces version-1.
func (d Document) WithVersion(version uint64) Document {
	rest := d.Without(KindCell, "")
	rest.sections = append([]section{newCellSection(version)}, rest.sections...)
	return rest
}

// Version returns the version in the document, or 0 if it is missing or not a number.
func (d Document) Version() uint64 {
	for _, s := range d.sections {
		if s.kind != KindCell {
			continue
		}
		for _, p := range s.pairs {
			if v, err := strconv.ParseUint(p.value, 10, 64); p.key == "version" && err == nil {
				return v
			}
		}
	}
	return 0
}

// WithTeam returns a copy with t appended.
func (d Document) WithTeam(t Team) Document { return d.withSection(newTeamSection(t)) }

// WithService returns a copy with s appended.
func (d Document) WithService(s model.Service) Document { return d.withSection(newWorkSection(s)) }

// WithBatch returns a copy with b appended.
func (d Document) WithBatch(b model.Batch) Document { return d.withSection(newWorkSection(b)) }

// WithGang returns a copy with g appended.
func (d Document) WithGang(g model.Gang) Document { return d.withSection(newWorkSection(g)) }

// WithRoute returns a copy with r appended.
func (d Document) WithRoute(r Route) Document { return d.withSection(newRouteSection(r)) }

// WithCaller returns a copy with c appended.
func (d Document) WithCaller(c Caller) Document { return d.withSection(newCallerSection(c)) }

// Without returns a copy without the sections of the given kind and name.
func (d Document) Without(kind Kind, name string) Document {
	kept := make([]section, 0, len(d.sections)+1)
	for _, s := range d.sections {
		if s.kind != kind || s.name != name {
			kept = append(kept, s)
		}
	}
	return Document{sections: kept}
}

// Equal reports whether both documents have the same sections and keys, in any order.
func (d Document) Equal(o Document) bool {
	return slices.EqualFunc(d.sortedSections(), o.sortedSections(), func(a, b section) bool {
		return a.kind == b.kind && a.name == b.name && slices.Equal(a.pairs, b.pairs)
	})
}

// withSection appends a section even if its name is already used, so that Check reports the
// duplicate. Replacing the section would silently drop the first of two items that a script
// gave the same name.
func (d Document) withSection(s section) Document {
	return Document{sections: append(slices.Clip(d.sections), s)}
}

// sortedSections returns the sections by kind and name, with their keys in the order of keysByKind.
func (d Document) sortedSections() []section {
	out := make([]section, len(d.sections))
	for i, s := range d.sections {
		pairs := slices.Clone(s.pairs)
		slices.SortStableFunc(pairs, func(a, b pair) int {
			return cmp.Or(cmp.Compare(keyRank(s.kind, a.key), keyRank(s.kind, b.key)), cmp.Compare(a.key, b.key))
		})
		out[i] = section{s.kind, s.name, pairs}
	}
	slices.SortStableFunc(out, compareSections)
	return out
}

// header returns the text between the brackets of the section header.
func (s section) header() string {
	return strings.TrimSpace(string(s.kind) + " " + s.name)
}

// compareSections orders sections by kind, then by name.
func compareSections(a, b section) int {
	return cmp.Or(
		cmp.Compare(kindRank(a.kind), kindRank(b.kind)),
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(a.name, b.name),
	)
}

func kindRank(k Kind) int {
	if i := slices.Index(Kinds(), k); i >= 0 {
		return i
	}
	return len(Kinds())
}
