package spec

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// values holds the values of a section by key, defaults included.
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

func (v values) work(s section) model.Work {
	base := v.base(s.name)
	switch s.kind {
	case KindBatch:
		return model.Batch{Base: base, Run: v["run"].text, Time: v.millis("time"), Checkpoint: v["checkpoint"].n != 0}
	case KindGang:
		return model.Gang{Base: base, Run: v["run"].text, Time: v.millis("time"), Checkpoint: v["checkpoint"].n != 0}
	default:
		return model.Service{Base: base}
	}
}

func (v values) team(name string) Team {
	return Team{Name: model.Team(name), Quota: v.size(), Floor: v.int("floor")}
}

func (v values) route(service string) Route {
	return Route{
		Service: service, Deadline: v.millis("deadline"), Queue: v.int("queue"),
		Attempts: v.int("attempts"), Budget: v.int("budget"), Backoff: v.millis("backoff"),
	}
}

func (v values) caller(name string) Caller {
	return Caller{Name: model.Caller(name), Share: v.int("share"), Class: model.Urgency(v["class"].n)}
}
