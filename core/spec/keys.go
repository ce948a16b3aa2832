package spec

import (
	"slices"

	"vanillabridge/core/clock"
)

// Limits of a document; one that exceeds them is refused.
const (
	// MaxTextBytes bounds the text that Parse accepts. The replicas of a group send a document in
	// one frame, and a frame holds at most 16 MiB.
	MaxTextBytes = 4 << 20
	// MaxLineBytes bounds a line. A list of 38 zones with long names fits.
	MaxLineBytes = 4 << 10
	// MaxSections bounds the number of sections.
	MaxSections = 20_000
	// MaxKeysPerSection bounds the number of keys in a section.
	MaxKeysPerSection = 32
	// MaxNameBytes bounds a name.
	MaxNameBytes = 64
	// MaxTasksPerWork bounds the number of tasks of a service or batch.
	MaxTasksPerWork = 100_000
	// MaxGangTasks bounds the number of tasks of a gang, all of which must fit into one zone at once.
	MaxGangTasks = 4096
	// MaxTotalTasks bounds the number of tasks of all work in a document.
	MaxTotalTasks = 1_000_000
	// MaxDeadline is the maximum duration of a request at an entry instance. The permits of an
	// unresponsive instance are held for this time, so a longer request could outlive its permit.
	MaxDeadline = 10 * clock.Second
	// MaxAttempts bounds the attempts of a request, and with them the load that retries add while
	// a service fails.
	MaxAttempts = 5
	// MaxRetryBudgetPercent bounds the retries in percent of requests, for the same reason.
	MaxRetryBudgetPercent = 20

	maxTaskMillicores   = 1_024_000       // 1024 cores
	maxTaskMebibytes    = 16 << 20        // 16 TiB
	maxTaskAccelerators = 64              // accelerators of one worker
	maxTeamMillicores   = 10_000_000_000  // 24,000 workers with 416 cores
	maxTeamMebibytes    = 100_000_000_000 // 24,000 workers with 4 TiB
	maxTeamAccelerators = 1_000_000
	maxTaskTimeMillis   = int64(7 * 24 * clock.Hour)
	maxVersion          = 1 << 53 // the largest integer that JSON readers keep exactly
)

// keySpec describes one key of a section; it is one row of the reference table.
type keySpec struct {
	name        string
	valueType   valueType
	min, max    int64 // inclusive bounds of numbers and of durations in milliseconds; max 0 means unbounded
	required    bool
	defaultText string // default that is filled in, with a note, when the key is missing
	description string
}

var keysByKind = map[Kind][]keySpec{
	KindCell: {
		{name: "version", valueType: typeNumber, min: 1, max: maxVersion, required: true, description: "version of this document; it replaces the version before it"},
	},
	KindTeam: {
		{name: "cpu", valueType: typeMillicores, min: 1, max: maxTeamMillicores, required: true, description: "CPU quota"},
		{name: "memory", valueType: typeMebibytes, min: 1, max: maxTeamMebibytes, required: true, description: "memory quota"},
		{name: "accel", valueType: typeNumber, min: 0, max: maxTeamAccelerators, description: "accelerator quota; none if missing"},
		{name: "floor", valueType: typePercent, min: 0, max: 100, description: "minimum share of the cell while the team has work waiting; the floors of all teams add up to at most 100%"},
	},
	KindService: baseKeys(MaxTasksPerWork),
	KindBatch:   append(baseKeys(MaxTasksPerWork), runKeys()...),
	KindGang:    append(baseKeys(MaxGangTasks), runKeys()...),
	KindRoute: {
		{name: "deadline", valueType: typeDuration, min: 10, max: int64(MaxDeadline), defaultText: "5s", description: "default and maximum deadline of a request"},
		{name: "queue", valueType: typeNumber, min: 1, max: 100_000, defaultText: "1000", description: "maximum number of requests waiting at one entry instance"},
		{name: "attempts", valueType: typeNumber, min: 1, max: MaxAttempts, defaultText: "2", description: "maximum attempts of one idempotent request, including the first"},
		{name: "budget", valueType: typePercent, min: 1, max: MaxRetryBudgetPercent, defaultText: "10%", description: "retry budget in percent of requests; `attempts = 1` disables retries"},
		{name: "backoff", valueType: typeDuration, min: 5, max: int64(MaxDeadline), defaultText: "20ms", description: "wait before the first retry, doubled for each further retry"},
	},
	KindCaller: {
		{name: "share", valueType: typeNumber, min: 1, max: 100, defaultText: "1", description: "weight among the callers of a class"},
		{name: "class", valueType: typeUrgency, defaultText: "normal", description: "highest urgency that its requests may claim"},
	},
}

func baseKeys(maxCount int64) []keySpec {
	return []keySpec{
		{name: "team", valueType: typeName, required: true, description: "team whose quota the work counts against"},
		{name: "zones", valueType: typeZones, required: true, description: "availability zones where the work may run"},
		{name: "count", valueType: typeNumber, min: 1, max: maxCount, defaultText: "1", description: "number of tasks"},
		{name: "cpu", valueType: typeMillicores, min: 1, max: maxTaskMillicores, defaultText: "1000m", description: "CPU of one task"},
		{name: "memory", valueType: typeMebibytes, min: 1, max: maxTaskMebibytes, defaultText: "1024Mi", description: "memory of one task"},
		{name: "accel", valueType: typeNumber, min: 0, max: maxTaskAccelerators, description: "accelerators of one task; none if missing"},
		// Work without a stated urgency must not preempt work whose author stated one.
		{name: "urgency", valueType: typeUrgency, defaultText: "low", description: "priority class: low, normal or urgent"},
	}
}

func runKeys() []keySpec {
	return []keySpec{
		// A constant default prevents a second run when the document is submitted again.
		{name: "run", valueType: typeRunLabel, defaultText: "1", description: "label of the run; each label is started once; a prefix `zone:` chooses the zone that owns the run"},
		{name: "time", valueType: typeDuration, min: int64(clock.Second), max: maxTaskTimeMillis, defaultText: "1h", description: "declared run time of one task"},
		{name: "checkpoint", valueType: typeBool, description: "whether a task can be stopped and resumed; false if missing"},
	}
}

func keyRank(kind Kind, name string) int {
	keys := keysByKind[kind]
	if i := slices.IndexFunc(keys, func(k keySpec) bool { return k.name == name }); i >= 0 {
		return i
	}
	return len(keys)
}

func findKey(kind Kind, name string) (keySpec, bool) {
	if i := keyRank(kind, name); i < len(keysByKind[kind]) {
		return keysByKind[kind][i], true
	}
	return keySpec{}, false
}
