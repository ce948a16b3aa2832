package spec

import (
	"slices"

	"vanillabridge/core/clock"
)

// Limits of a document.
const (
	// MaxText is the longest text that Parse reads, in bytes. A group's messages carry a
	// document in one frame of at most 16 MiB.
	MaxText = 4 << 20
	// MaxLine is the longest line, in bytes; it holds a list of 38 zones with long names.
	MaxLine = 4 << 10
	// MaxSections is the largest number of sections.
	MaxSections = 20_000
	// MaxKeys is the largest number of keys in a section.
	MaxKeys = 32
	// MaxName is the longest name, in bytes.
	MaxName = 64
	// MaxCount is the largest number of tasks of one service, batch or gang.
	MaxCount = 100_000
	// MaxGang is the largest number of tasks of a gang, which must fit into one zone at once.
	MaxGang = 4096
	// MaxTasks is the largest number of tasks of all work in a document.
	MaxTasks = 1_000_000
	// MaxDeadline is the maximum request time of the entry instances. Permits of an instance
	// that fell silent are held that long, so a longer request could outlive its permit.
	MaxDeadline = 10 * clock.Second
	// MaxAttempts and MaxBudget bound the load that retries add while a service fails.
	MaxAttempts = 5
	// MaxBudget is the largest share of retries, in percent of requests.
	MaxBudget = 20

	maxTaskCores  = 1_024_000       // 1024 cores
	maxTaskMemory = 16 << 20        // 16 TiB
	maxTaskAccel  = 64              // accelerators of one worker
	maxTeamCores  = 10_000_000_000  // 24,000 workers with 416 cores
	maxTeamMemory = 100_000_000_000 // 24,000 workers with 4 TiB
	maxTeamAccel  = 1_000_000
	maxTime       = int64(7 * 24 * clock.Hour)
	maxVersion    = 1 << 53 // the largest integer that JSON readers keep exactly
)

// key is one row of the table of keys.
type key struct {
	name     string
	unit     unit
	min, max int64 // bounds of numbers and durations
	required bool
	fallback string // safe default, filled in and listed when the key is missing
	doc      string
}

var table = map[Kind][]key{
	KindCell: {
		{name: "version", unit: unitCount, min: 1, max: maxVersion, required: true, doc: "version of this document; it replaces the version before it"},
	},
	KindTeam: {
		{name: "cpu", unit: unitCores, min: 1, max: maxTeamCores, required: true, doc: "quota of processor"},
		{name: "memory", unit: unitMemory, min: 1, max: maxTeamMemory, required: true, doc: "quota of memory"},
		{name: "accel", unit: unitCount, min: 0, max: maxTeamAccel, doc: "quota of accelerators; none if missing"},
		{name: "floor", unit: unitPercent, min: 0, max: 100, doc: "share of the cell that the team gets while it has work waiting; all floors together at most 100%"},
	},
	KindService: baseKeys(MaxCount),
	KindBatch:   append(baseKeys(MaxCount), runKeys()...),
	KindGang:    append(baseKeys(MaxGang), runKeys()...),
	KindRoute: {
		{name: "deadline", unit: unitDuration, min: 10, max: int64(MaxDeadline), fallback: "5s", doc: "deadline of a request that states none, and the longest it may state"},
		{name: "queue", unit: unitCount, min: 1, max: 100_000, fallback: "1000", doc: "requests waiting at one entry instance"},
		{name: "attempts", unit: unitCount, min: 1, max: MaxAttempts, fallback: "2", doc: "tries of one idempotent request, the first included"},
		{name: "budget", unit: unitPercent, min: 1, max: MaxBudget, fallback: "10%", doc: "retries in percent of requests; `attempts = 1` turns retries off"},
		{name: "backoff", unit: unitDuration, min: 5, max: int64(MaxDeadline), fallback: "20ms", doc: "wait before the first retry, doubled for each further one"},
	},
	KindCaller: {
		{name: "share", unit: unitCount, min: 1, max: 100, fallback: "1", doc: "weight among the callers of a class"},
		{name: "class", unit: unitUrgency, fallback: "normal", doc: "highest class that its requests may claim"},
	},
}

func baseKeys(maxCount int64) []key {
	return []key{
		{name: "team", unit: unitName, required: true, doc: "team whose quota the work counts against"},
		{name: "zones", unit: unitZones, required: true, doc: "availability zones where the work may run"},
		{name: "count", unit: unitCount, min: 1, max: maxCount, fallback: "1", doc: "number of tasks"},
		{name: "cpu", unit: unitCores, min: 1, max: maxTaskCores, fallback: "1000m", doc: "processor of one task"},
		{name: "memory", unit: unitMemory, min: 1, max: maxTaskMemory, fallback: "1024Mi", doc: "memory of one task"},
		{name: "accel", unit: unitCount, min: 0, max: maxTaskAccel, doc: "accelerators of one task; none if missing"},
		// Work whose author stated no urgency must not displace work whose author did.
		{name: "urgency", unit: unitUrgency, fallback: "low", doc: "class: low, normal or urgent"},
	}
}

func runKeys() []key {
	return []key{
		// A fixed label keeps a document that is submitted again from starting a second run.
		{name: "run", unit: unitLabel, fallback: "1", doc: "label of the run; each label is started once; a prefix `zone:` chooses the zone that owns the run"},
		{name: "time", unit: unitDuration, min: int64(clock.Second), max: maxTime, fallback: "1h", doc: "declared run time of one task"},
		{name: "checkpoint", unit: unitFlag, doc: "whether a task can be stopped and resumed; false if missing"},
	}
}

func keyRank(kind Kind, name string) int {
	keys := table[kind]
	if i := slices.IndexFunc(keys, func(k key) bool { return k.name == name }); i >= 0 {
		return i
	}
	return len(keys)
}

func findKey(kind Kind, name string) (key, bool) {
	if i := keyRank(kind, name); i < len(table[kind]) {
		return table[kind][i], true
	}
	return key{}, false
}
