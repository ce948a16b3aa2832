package spec

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// values holds the parsed values of a section by key, including defaults.
type values map[string]value

func (v values) int(key string) int { return int(v[key].number) }

func (v values) millis(key string) clock.Millis { return clock.Millis(v[key].number) }

func (v values) size() model.Size {
	return model.Size{
		CPU:    model.Millicores(v["cpu"].number),
		Memory: model.Mebibytes(v["memory"].number),
		Accel:  model.Accelerators(v["accel"].number),
	}
}

func (v values) base(name string) model.Base {
	return model.Base{
		Name: name, Team: model.Team(v["team"].text), Zones: slices.Clone(v["zones"].zones),
		Size: v.size(), Urgency: model.Urgency(v["urgency"].number), Count: v.int("count"),
	}
}

func (v values) work(s section) model.Work {
	base := v.base(s.name)
	switch s.kind {
	case KindBatch:
		return model.Batch{Base: base, Run: v["run"].text, Time: v.millis("time"), Checkpoint: v["checkpoint"].number != 0}
	case KindGang:
		return model.Gang{Base: base, Run: v["run"].text, Time: v.millis("time"), Checkpoint: v["checkpoint"].number != 0}
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
	return Caller{Name: model.Caller(name), Share: v.int("share"), Class: model.Urgency(v["class"].number)}
}
