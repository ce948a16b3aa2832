package trace

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"vanillabridge/core/model"
)

// Filter selects events; empty fields select all. An event is selected if it agrees with
// every field that is set.
type Filter struct {
	Task     model.TaskID
	Job      model.JobID // events of the job and of its tasks
	Request  string
	Instance model.Instance // events recorded by the instance or about it
	Zone     model.Zone     // events recorded in the zone or about it
	Worker   model.WorkerID
	Server   model.ServerID
	Service  string
	Kinds    []Kind
	After    Stamp // only later events
	Limit    int   // only the latest ones; no limit if zero
}

// Match reports whether the filter selects the entry, its limit aside.
func (f Filter) Match(e Entry) bool {
	s := e.Event.About()
	process, _, _ := strings.Cut(e.Process, "#")
	return matches(f.Task, s.Task) &&
		(matches(f.Job, s.Job) || f.Job == s.Task.Job) &&
		matches(f.Request, s.Request) &&
		(matches(f.Instance, s.Instance) || string(f.Instance) == process) &&
		(matches(f.Zone, s.Zone) || f.Zone == e.Zone) &&
		matches(f.Worker, s.Worker) &&
		matches(f.Server, s.Server) &&
		matches(f.Service, s.Service) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Event.Kind())) &&
		(f.After.IsZero() || e.Stamp.Compare(f.After) > 0)
}

// Apply returns the selected entries in their order.
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

// Query returns the filter as the query of GET /v1/events.
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

// ParseFilter reads the query of GET /v1/events.
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
		if _, ok := decoders[Kind(k)]; !ok {
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

// matches reports whether a field of a filter is empty or equal to that of an event.
func matches[T comparable](want, got T) bool {
	var none T
	return want == none || want == got
}
