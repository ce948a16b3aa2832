package config

import "vanillabridge/core/spec"

// setting is one row of the table of settings. The type that field points to determines how the text
// is parsed.
type setting struct {
	section     string
	name        string
	defaultText string
	required    bool
	min, max    int64 // limits of numbers, durations (in milliseconds) and sizes (in bytes); zero for other types
	doc         string
	field       func(*Settings) any
}

const (
	kib = 1 << 10
	mib = 1 << 20
)

// settingTable lists the settings in the order of the reference. The sections [peers] and [witness],
// whose keys the operator chooses, are in dynamicSections.
var settingTable = []setting{
	{
		section: "instance", name: "name", required: true, doc: "name of this instance, unique in the cell",
		field: func(s *Settings) any { return &s.Instance.Name },
	},
	{
		section: "instance", name: "zone", required: true, doc: "availability zone of this instance",
		field: func(s *Settings) any { return &s.Instance.Zone },
	},
	{
		section: "instance", name: "region", required: true, doc: "region of the availability zone",
		field: func(s *Settings) any { return &s.Instance.Region },
	},
	{
		section: "instance", name: "data", doc: "directory of the replicated logs; empty for an instance without a disk, which joins as a new member after each restart",
		field: func(s *Settings) any { return &s.Instance.DataDir },
	},
	{
		section: "instance", name: "bootstrap", defaultText: "false", doc: "whether this instance may create the groups that name it as a voter if its data directory is empty and no peer has them; set it back to false after the first start, because an instance without a disk would create its groups again if all its peers are unreachable",
		field: func(s *Settings) any { return &s.Instance.Bootstrap },
	},
	{
		section: "listen", name: "http", required: true, doc: "address for callers, backend servers, workers and operators",
		field: func(s *Settings) any { return &s.Listen.HTTPAddress },
	},
	{
		section: "listen", name: "peer", required: true, doc: "address for the other instances",
		field: func(s *Settings) any { return &s.Listen.PeerAddress },
	},
	{
		section: "group", name: "voters", required: true, doc: "initial voters of the group of this availability zone, at most three, all in the zone",
		field: func(s *Settings) any { return &s.Group.Voters },
	},
	{
		section: "group", name: "witness", doc: "instance of another availability zone that is an additional voter of a zone with fewer than three voters; it names this zone in its section [witness]",
		field: func(s *Settings) any { return &s.Group.Witness },
	},
	{
		section: "group", name: "cell", required: true, doc: "initial voters of the cell group, at most five, spread over zones",
		field: func(s *Settings) any { return &s.Group.CellVoters },
	},
	{
		section: "group", name: "election", defaultText: "600ms", min: 100, max: 60_000, doc: "election timeout: time without a leader after which an election starts; at least 3 heartbeat intervals",
		field: func(s *Settings) any { return &s.Group.ElectionTimeout },
	},
	{
		section: "group", name: "heartbeat", defaultText: "150ms", min: 10, max: 10_000, doc: "interval between heartbeats of a leader",
		field: func(s *Settings) any { return &s.Group.HeartbeatInterval },
	},
	{
		section: "entry", name: "time", defaultText: "10s", min: 100, max: int64(spec.MaxDeadline), doc: "maximum duration of a request; it cannot exceed the upper limit, because the permits of an unreachable instance are reserved for that long",
		field: func(s *Settings) any { return &s.Entry.MaxRequestTime },
	},
	{
		section: "entry", name: "header", defaultText: "64KiB", min: 4 * kib, max: mib, doc: "maximum size of a request header",
		field: func(s *Settings) any { return &s.Entry.MaxHeaderBytes },
	},
	{
		section: "entry", name: "body", defaultText: "64MiB", min: kib, max: 1024 * mib, doc: "maximum size of a request body",
		field: func(s *Settings) any { return &s.Entry.MaxBodyBytes },
	},
	{
		section: "entry", name: "queue", defaultText: "10000", min: 1, max: 1_000_000, doc: "maximum number of requests waiting at this instance, over all services",
		field: func(s *Settings) any { return &s.Entry.MaxQueuedRequests },
	},
	{
		section: "worker", name: "lease", defaultText: "10s", min: 2000, max: 300_000, doc: "time for which a worker keeps running its tasks without an answer from the zone leader",
		field: func(s *Settings) any { return &s.Worker.LeaseDuration },
	},
	{
		section: "drain", name: "time", defaultText: "30s", min: 0, max: 600_000, doc: "time for which a planned stop waits for requests in progress",
		field: func(s *Settings) any { return &s.Drain.Timeout },
	},
	{
		section: "log", name: "level", defaultText: "info", doc: "lowest level that is logged: debug, info, warn or error",
		field: func(s *Settings) any { return &s.Log.Level },
	},
	{
		section: "log", name: "file", doc: "log file, in JSON Lines format; standard error if empty",
		field: func(s *Settings) any { return &s.Log.File },
	},
	{
		section: "trace", name: "size", defaultText: "32768", min: 100, max: 1_000_000, doc: "number of timeline events kept in memory, about 250 bytes each",
		field: func(s *Settings) any { return &s.Trace.MaxEvents },
	},
	{
		section: "trace", name: "file", doc: "file for timeline events, in JSON Lines format; no file if empty",
		field: func(s *Settings) any { return &s.Trace.File },
	},
	{
		section: "trace", name: "limit", defaultText: "64MiB", min: mib, max: 1024 * mib, doc: "size at which the file is rotated to `file.1`, replacing the previous one; both together use at most twice this size on disk",
		field: func(s *Settings) any { return &s.Trace.MaxFileBytes },
	},
	{
		section: "tls", name: "certificate", doc: "file with the certificate of this instance (PEM); must be set together with key",
		field: func(s *Settings) any { return &s.TLS.Certificate },
	},
	{
		section: "tls", name: "key", doc: "file with the private key of the certificate (PEM)",
		field: func(s *Settings) any { return &s.TLS.Key },
	},
	{
		section: "tls", name: "authority", doc: "file with the CA certificates that sign the certificates of the other instances (PEM)",
		field: func(s *Settings) any { return &s.TLS.Authority },
	},
}

// dynamicSection is a section whose keys the operator chooses.
type dynamicSection struct {
	section   string
	keyDoc    string // what a key names, for the reference
	valueForm string
	doc       string
	parse     func(s *Settings, name, text string) string // returns the problem, or "" if valid
}

var dynamicSections = []dynamicSection{
	{
		section: "peers", keyDoc: "name of another instance", valueForm: "`zone region http-address peer-address`",
		doc: "one key for each other entry instance of the cell", parse: addPeer,
	},
	{
		section: "witness", keyDoc: "availability zone", valueForm: "list of instances",
		doc: "one key for each zone whose group has this instance as its witness; the value lists the initial voters of that group, without this instance", parse: addWitness,
	},
}

// removedKeys holds the keys of earlier versions, with the reason why they no longer exist. A file that
// has one is refused, because its author expects an effect.
var removedKeys = map[string]string{
	"entry connections": "no longer exists: each backend server announces its connection limit, which the entry instances share",
	"worker sync":       "no longer exists: workers decide themselves when they report",
}
