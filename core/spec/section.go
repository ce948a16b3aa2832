package spec

import (
	"strconv"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

func newCellSection(version uint64) section {
	return section{kind: KindCell, pairs: []pair{{"version", strconv.FormatUint(version, 10)}}}
}

func newTeamSection(t Team) section {
	p := appendSize(nil, t.Quota)
	p = appendNumber(p, "floor", int64(t.Floor), "%")
	return section{KindTeam, string(t.Name), p}
}

func newWorkSection(w model.Work) section {
	switch w := w.(type) {
	case model.Batch:
		return section{KindBatch, w.Name, appendRunPairs(basePairs(w.Base, w.Run), w.Time, w.Checkpoint)}
	case model.Gang:
		return section{KindGang, w.Name, appendRunPairs(basePairs(w.Base, w.Run), w.Time, w.Checkpoint)}
	default:
		return section{KindService, w.Common().Name, basePairs(w.Common(), "")}
	}
}

func newRouteSection(r Route) section {
	p := appendDuration(nil, "deadline", r.Deadline)
	p = appendNumber(p, "queue", int64(r.Queue), "")
	p = appendNumber(p, "attempts", int64(r.Attempts), "")
	p = appendNumber(p, "budget", int64(r.Budget), "%")
	p = appendDuration(p, "backoff", r.Backoff)
	return section{KindRoute, r.Service, p}
}

func newCallerSection(c Caller) section {
	p := appendNumber(nil, "share", int64(c.Share), "")
	p = append(p, pair{"class", c.Class.String()})
	return section{KindCaller, string(c.Name), p}
}

// appendNumber appends a pair unless n is zero, which means that the key is not set.
func appendNumber(p []pair, key string, n int64, suffix string) []pair {
	if n == 0 {
		return p
	}
	return append(p, pair{key, strconv.FormatInt(n, 10) + suffix})
}

func appendDuration(p []pair, key string, m clock.Millis) []pair {
	if m == 0 {
		return p
	}
	return append(p, pair{key, formatDuration(m)})
}

func appendSize(p []pair, s model.Size) []pair {
	p = appendNumber(p, "cpu", int64(s.CPU), unitSuffixes[typeMillicores])
	p = appendNumber(p, "memory", int64(s.Memory), unitSuffixes[typeMebibytes])
	return appendNumber(p, "accel", int64(s.Accel), "")
}

func basePairs(b model.Base, run string) []pair {
	var p []pair
	if b.Team != "" {
		p = append(p, pair{"team", string(b.Team)})
	}
	if run != "" {
		p = append(p, pair{"run", run})
	}
	if len(b.Zones) > 0 {
		p = append(p, pair{"zones", formatZones(b.Zones)})
	}
	p = appendNumber(p, "count", int64(b.Count), "")
	p = appendSize(p, b.Size)
	return append(p, pair{"urgency", b.Urgency.String()})
}

func appendRunPairs(p []pair, time clock.Millis, checkpoint bool) []pair {
	p = appendDuration(p, "time", time)
	if checkpoint {
		p = append(p, pair{"checkpoint", "true"})
	}
	return p
}
