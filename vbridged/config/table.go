package config

import "vanillabridge/core/spec"

// key is one row of the table of settings. The type of what target points to decides how the
// text is read.
type key struct {
	section  string
	name     string
	fallback string
	required bool
	min, max int64 // bounds of numbers, durations (in milliseconds) and bytes
	doc      string
	target   func(*Settings) any
}

const (
	kib = 1 << 10
	mib = 1 << 20
)

// table lists the settings in the order of the reference. The sections [peers] and [witness]
// have keys that the operator names; see lists.
var table = []key{
	{
		section: "instance", name: "name", required: true, doc: "name of this instance, unique in the cell",
		target: func(s *Settings) any { return &s.Instance.Name },
	},
	{
		section: "instance", name: "zone", required: true, doc: "availability zone of this instance",
		target: func(s *Settings) any { return &s.Instance.Zone },
	},
	{
		section: "instance", name: "region", required: true, doc: "region of the availability zone",
		target: func(s *Settings) any { return &s.Instance.Region },
	},
	{
		section: "instance", name: "data", doc: "folder for the replicated logs; empty for an instance without a disk, which joins as a new member after each restart",
		target: func(s *Settings) any { return &s.Instance.Data },
	},
	{
		section: "instance", name: "bootstrap", fallback: "false", doc: "whether this instance may found the groups that name it as a voter when its data folder is empty and no peer has them; set it back to false after the first start, because an instance without a disk would found its groups again if all its peers are away",
		target: func(s *Settings) any { return &s.Instance.Bootstrap },
	},
	{
		section: "listen", name: "http", required: true, doc: "address for callers, backend servers, workers and operators",
		target: func(s *Settings) any { return &s.Listen.HTTP },
	},
	{
		section: "listen", name: "peer", required: true, doc: "address for the other instances",
		target: func(s *Settings) any { return &s.Listen.Peer },
	},
	{
		section: "group", name: "voters", required: true, doc: "initial voters of the group of this availability zone, at most three, all in the zone",
		target: func(s *Settings) any { return &s.Group.Voters },
	},
	{
		section: "group", name: "witness", doc: "instance of another availability zone that is a further voter of a zone with fewer than three; it names this zone in its section [witness]",
		target: func(s *Settings) any { return &s.Group.Witness },
	},
	{
		section: "group", name: "cell", required: true, doc: "initial voters of the cell group, at most five, spread over zones",
		target: func(s *Settings) any { return &s.Group.Cell },
	},
	{
		section: "group", name: "election", fallback: "600ms", min: 100, max: 60_000, doc: "time without a leader after which an election starts; at least 3 heartbeats",
		target: func(s *Settings) any { return &s.Group.Election },
	},
	{
		section: "group", name: "heartbeat", fallback: "150ms", min: 10, max: 10_000, doc: "interval of a leader's heartbeats",
		target: func(s *Settings) any { return &s.Group.Heartbeat },
	},
	{
		section: "entry", name: "time", fallback: "10s", min: 100, max: int64(spec.MaxDeadline), doc: "maximum request time; permits of an instance that fell silent are held for the upper limit, so it cannot be longer",
		target: func(s *Settings) any { return &s.Entry.Time },
	},
	{
		section: "entry", name: "header", fallback: "64KiB", min: 4 * kib, max: mib, doc: "longest request header",
		target: func(s *Settings) any { return &s.Entry.Header },
	},
	{
		section: "entry", name: "body", fallback: "64MiB", min: kib, max: 1024 * mib, doc: "longest request body",
		target: func(s *Settings) any { return &s.Entry.Body },
	},
	{
		section: "entry", name: "queue", fallback: "10000", min: 1, max: 1_000_000, doc: "requests that may wait at this instance, over all services",
		target: func(s *Settings) any { return &s.Entry.Queue },
	},
	{
		section: "entry", name: "connections", fallback: "8", min: 1, max: 1024, doc: "connections to one backend server; its connection limit divided by the number of entry instances",
		target: func(s *Settings) any { return &s.Entry.Connections },
	},
	{
		section: "worker", name: "lease", fallback: "10s", min: 2000, max: 300_000, doc: "time that a worker runs its tasks without an answer of the zone leader; at least 4 syncs",
		target: func(s *Settings) any { return &s.Worker.Lease },
	},
	{
		section: "worker", name: "sync", fallback: "500ms", min: 50, max: 60_000, doc: "interval of a worker's reports",
		target: func(s *Settings) any { return &s.Worker.Sync },
	},
	{
		section: "drain", name: "time", fallback: "30s", min: 0, max: 600_000, doc: "time that a planned stop waits for requests in progress",
		target: func(s *Settings) any { return &s.Drain.Time },
	},
	{
		section: "log", name: "level", fallback: "info", doc: "least severe level that is logged: debug, info, warn or error",
		target: func(s *Settings) any { return &s.Log.Level },
	},
	{
		section: "log", name: "file", doc: "file for the log, in lines of JSON; standard error if empty",
		target: func(s *Settings) any { return &s.Log.File },
	},
	{
		section: "trace", name: "size", fallback: "32768", min: 100, max: 1_000_000, doc: "events of the timeline kept in memory, about 250 bytes each",
		target: func(s *Settings) any { return &s.Trace.Size },
	},
	{
		section: "trace", name: "file", doc: "file for the events of the timeline, in lines of JSON; none if empty",
		target: func(s *Settings) any { return &s.Trace.File },
	},
	{
		section: "trace", name: "limit", fallback: "64MiB", min: mib, max: 1024 * mib, doc: "size at which the file is put aside as `file.1`, in place of the one before; the two take at most twice as much of the disk",
		target: func(s *Settings) any { return &s.Trace.Limit },
	},
	{
		section: "tls", name: "certificate", doc: "file with the certificate of this instance (PEM); set it together with key",
		target: func(s *Settings) any { return &s.TLS.Certificate },
	},
	{
		section: "tls", name: "key", doc: "file with the private key of the certificate (PEM)",
		target: func(s *Settings) any { return &s.TLS.Key },
	},
	{
		section: "tls", name: "authority", doc: "file with the certificates that sign the other instances' certificates (PEM)",
		target: func(s *Settings) any { return &s.TLS.Authority },
	},
}

// list is a section whose keys the operator names.
type list struct {
	section string
	key     string // what the keys name
	form    string
	doc     string
	add     func(s *Settings, name, text string) string // returns what is wrong
}

var lists = []list{
	{
		section: "peers", key: "name of another instance", form: "`zone region http-address peer-address`",
		doc: "one key for each other entry instance of the cell", add: addPeer,
	},
	{
		section: "witness", key: "availability zone", form: "list of instances",
		doc: "one key for each other zone whose group has this instance as its witness; the value lists the initial voters of that group, without this instance", add: addWitness,
	},
}
