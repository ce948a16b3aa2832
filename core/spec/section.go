package spec

import (
	"strconv"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

func cellSection(version uint64) section {
	return section{kind: KindCell, pairs: []pair{{"version", strconv.FormatUint(version, 10)}}}
}

func teamSection(t Team) section {
	p := sizePairs(nil, t.Quota)
	p = number(p, "floor", int64(t.Floor), "%")
	return section{KindTeam, string(t.Name), p}
}

func workSection(w model.Work) section {
	switch w := w.(type) {
	case model.Batch:
		return section{KindBatch, w.Name, runPairs(basePairs(w.Base, w.Run), w.Time, w.Checkpoint)}
	case model.Gang:
		return section{KindGang, w.Name, runPairs(basePairs(w.Base, w.Run), w.Time, w.Checkpoint)}
	default:
		return section{KindService, w.Common().Name, basePairs(w.Common(), "")}
	}
}

func routeSection(r Route) section {
	p := duration(nil, "deadline", r.Deadline)
	p = number(p, "queue", int64(r.Queue), "")
	p = number(p, "attempts", int64(r.Attempts), "")
	p = number(p, "budget", int64(r.Budget), "%")
	p = duration(p, "backoff", r.Backoff)
	return section{KindRoute, r.Service, p}
}

func callerSection(c Caller) section {
	p := number(nil, "share", int64(c.Share), "")
	p = append(p, pair{"class", c.Class.String()})
	return section{KindCaller, string(c.Name), p}
}

// number appends a pair unless n is zero, which stands for "not stated".
func number(p []pair, key string, n int64, suffix string) []pair {
	if n == 0 {
		return p
	}
	return append(p, pair{key, strconv.FormatInt(n, 10) + suffix})
}

func duration(p []pair, key string, m clock.Millis) []pair {
	if m == 0 {
		return p
	}
	return append(p, pair{key, printDuration(m)})
}

func sizePairs(p []pair, s model.Size) []pair {
	p = number(p, "cpu", int64(s.CPU), suffixes[unitCores])
	p = number(p, "memory", int64(s.Memory), suffixes[unitMemory])
	return number(p, "accel", int64(s.Accel), "")
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
		p = append(p, pair{"zones", printZones(b.Zones)})
	}
	p = number(p, "count", int64(b.Count), "")
	p = sizePairs(p, b.Size)
	return append(p, pair{"urgency", b.Urgency.String()})
}

func runPairs(p []pair, time clock.Millis, checkpoint bool) []pair {
	p = duration(p, "time", time)
	if checkpoint {
		p = append(p, pair{"checkpoint", "true"})
	}
	return p
}
