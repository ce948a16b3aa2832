package trace

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"vanillabridge/core/model"
)

// Filter selects events. An event matches if it matches every field that is set; an empty
// filter matches all events.
type Filter struct {
	Task     model.TaskID
	Job      model.JobID // events of the job and of its tasks
	Request  string
	Instance model.Instance // events recorded by the instance or concerning it
	Zone     model.Zone     // events recorded in the zone or concerning it
	Worker   model.WorkerID
	Server   model.ServerID
	Service  string
	Kinds    []Kind
	After    Stamp // only events with a later stamp
	Limit    int   // maximum number of events, the latest ones; no limit if zero
}

// Match reports whether the entry matches the filter. It ignores Limit.
func (f Filter) Match(e Entry) bool {
	s := e.Event.EventSubject()
	process, _, _ := strings.Cut(e.Process, "#")
	return matchesField(f.Task, s.Task) &&
		(matchesField(f.Job, s.Job) || f.Job == s.Task.Job) &&
		matchesField(f.Request, s.Request) &&
		(matchesField(f.Instance, s.Instance) || string(f.Instance) == process) &&
		(matchesField(f.Zone, s.Zone) || f.Zone == e.Zone) &&
		matchesField(f.Worker, s.Worker) &&
		matchesField(f.Server, s.Server) &&
		matchesField(f.Service, s.Service) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Event.Kind())) &&
		(f.After.IsZero() || e.Stamp.Compare(f.After) > 0)
}

// Apply returns the entries that match, in their order, and applies Limit.
func (f Filter) Apply(entries []Entry) []Entry {
	var out []Entry
	for _, e := range entries {
		if f.Match(e) {
			out = append(out, e)
		}
	}
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}

// Query encodes the filter as the query of GET /v1/events.
func (f Filter) Query() url.Values {
	q := url.Values{}
	set := func(key, value string) {
		if value != "" {
			q.Set(key, value)
		}
	}
	if f.Task.Job != "" {
		set("task", f.Task.String())
	}
	set("job", string(f.Job))
	set("request", f.Request)
	set("instance", string(f.Instance))
	set("zone", string(f.Zone))
	set("worker", string(f.Worker))
	set("server", string(f.Server))
	set("service", f.Service)
	for _, k := range f.Kinds {
		q.Add("kind", string(k))
	}
	if !f.After.IsZero() {
		set("after", f.After.String())
	}
	if f.Limit > 0 {
		set("limit", strconv.Itoa(f.Limit))
	}
	return q
}

// ParseFilter decodes the query of GET /v1/events.
func ParseFilter(q url.Values) (Filter, error) {
	f := Filter{
		Job: model.JobID(q.Get("job")), Request: q.Get("request"), Instance: model.Instance(q.Get("instance")),
		Zone: model.Zone(q.Get("zone")), Worker: model.WorkerID(q.Get("worker")),
		Server: model.ServerID(q.Get("server")), Service: q.Get("service"),
	}
	for key := range q {
		if !slices.Contains(queryKeys, key) {
			return Filter{}, fmt.Errorf("unknown query key %q, want one of %s", key, strings.Join(queryKeys, ", "))
		}
	}
	for _, k := range q["kind"] {
		if _, ok := decodersByKind[Kind(k)]; !ok {
			return Filter{}, fmt.Errorf("unknown kind of event %q", k)
		}
		f.Kinds = append(f.Kinds, Kind(k))
	}
	var err error
	if text := q.Get("task"); text != "" {
		if f.Task, err = model.ParseTaskID(text); err != nil {
			return Filter{}, err
		}
	}
	if text := q.Get("after"); text != "" {
		if f.After, err = ParseStamp(text); err != nil {
			return Filter{}, err
		}
	}
	if text := q.Get("limit"); text != "" {
		if f.Limit, err = strconv.Atoi(text); err != nil || f.Limit < 1 {
			return Filter{}, fmt.Errorf("limit %q is not a positive number", text)
		}
	}
	return f, nil
}

var queryKeys = []string{
	"task", "job", "request", "instance", "zone", "worker", "server", "service", "kind", "after", "limit",
}

// matchesField reports whether a field of a filter is empty or equal to that of an event.
func matchesField[T comparable](want, got T) bool {
	var none T
	return want == none || want == got
}
