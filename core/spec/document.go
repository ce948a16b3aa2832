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

// Team is a group of users with a quota of the cell.
type Team struct {
	Name  model.Team
	Quota model.Size
	Floor int // percent of the cell that the team gets while it has work waiting
}

// Route describes a service that callers reach through the entry instances.
type Route struct {
	Service  string
	Deadline clock.Millis // of a request that states none, and the longest it may state
	Queue    int          // requests waiting at one entry instance
	Attempts int          // tries of one idempotent request, the first included
	Budget   int          // retries in percent of requests
	Backoff  clock.Millis // before the first retry
}

// Caller is a known caller of routes.
type Caller struct {
	Name  model.Caller
	Share int           // weight within its class
	Class model.Urgency // highest class that its requests may claim
}

// Document is a configuration as its author wrote it: it may be incomplete or wrong until
// Check has accepted it. It is immutable; With methods return changed copies.
type Document struct {
	sections []section
}

type section struct {
	kind  Kind
	name  string
	pairs []pair
}

type pair struct{ key, value string }

// New returns an empty document of the given version, which replaces version-1.
func New(version uint64) Document {
	return Document{}.WithVersion(version)
}

// WithVersion returns a copy that replaces the version before the given one.
func (d Document) WithVersion(version uint64) Document {
	rest := d.Without(KindCell, "")
	rest.sections = append([]section{cellSection(version)}, rest.sections...)
	return rest
}

// Version returns the version that the document asks for, or 0 if it states none.
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

// WithTeam returns a copy with a further team.
func (d Document) WithTeam(t Team) Document { return d.with(teamSection(t)) }

// WithService returns a copy with a further service.
func (d Document) WithService(s model.Service) Document { return d.with(workSection(s)) }

// WithBatch returns a copy with a further batch.
func (d Document) WithBatch(b model.Batch) Document { return d.with(workSection(b)) }

// WithGang returns a copy with a further gang.
func (d Document) WithGang(g model.Gang) Document { return d.with(workSection(g)) }

// WithRoute returns a copy with a further route.
func (d Document) WithRoute(r Route) Document { return d.with(routeSection(r)) }

// WithCaller returns a copy with a further caller.
func (d Document) WithCaller(c Caller) Document { return d.with(callerSection(c)) }

// Without returns a copy without the sections of that kind and name.
func (d Document) Without(kind Kind, name string) Document {
	kept := make([]section, 0, len(d.sections)+1)
	for _, s := range d.sections {
		if s.kind != kind || s.name != name {
			kept = append(kept, s)
		}
	}
	return Document{sections: kept}
}

// Equal reports whether both documents state the same, in whatever order.
func (d Document) Equal(o Document) bool {
	return slices.EqualFunc(d.sorted(), o.sorted(), func(a, b section) bool {
		return a.kind == b.kind && a.name == b.name && slices.Equal(a.pairs, b.pairs)
	})
}

// with appends a section even if the name exists: Check reports the duplicate, where
// replacing would silently lose the first of two items that a script gave one name.
func (d Document) with(s section) Document {
	return Document{sections: append(slices.Clip(d.sections), s)}
}

// sorted returns the sections by kind and name, and their keys in the order of the table.
func (d Document) sorted() []section {
	out := make([]section, len(d.sections))
	for i, s := range d.sections {
		pairs := slices.Clone(s.pairs)
		slices.SortStableFunc(pairs, func(a, b pair) int {
			return cmp.Or(cmp.Compare(keyRank(s.kind, a.key), keyRank(s.kind, b.key)), cmp.Compare(a.key, b.key))
		})
		out[i] = section{s.kind, s.name, pairs}
	}
	slices.SortStableFunc(out, compare)
	return out
}

// title returns the section as it stands between brackets.
func (s section) title() string {
	return strings.TrimSpace(string(s.kind) + " " + s.name)
}

// compare orders sections by kind, then by name.
func compare(a, b section) int {
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
