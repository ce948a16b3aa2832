package trace

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"vanillabridge/core/fault"
)

// WriteText writes each entry as a line: time, process, zone, kind, subject and details.
func WriteText(w io.Writer, entries []Entry) error {
	out := bufio.NewWriter(w)
	width, zone := 0, 0
	for _, e := range entries {
		width = max(width, len(e.Process))
		zone = max(zone, len(e.Zone))
	}
	for _, e := range entries {
		line := fmt.Sprintf("%s %-*s %-*s %-15s %s", e.Stamp.Clock(), width, e.Process, zone, e.Zone, e.Event.Kind(), Describe(e.Event))
		_, _ = out.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	if err := out.Flush(); err != nil {
		return fault.Wrap(err, "write %d events as text", len(entries))
	}
	return nil
}

// Clock prints the stamp as a time of day in UTC with its date and count.
func (s Stamp) Clock() string {
	return fmt.Sprintf("%s+%d", time.UnixMilli(int64(s.Time)).UTC().Format("2006-01-02T15:04:05.000"), s.Count)
}

// Describe prints the subject and the details of an event as "name=value" pairs.
func Describe(e Event) string {
	s := e.About()
	task := ""
	if s.Task.Job != "" {
		task = s.Task.String()
	}
	subject := detail("task", task, "job", s.Job, "request", s.Request, "worker", s.Worker, "server", s.Server,
		"service", s.Service, "instance", s.Instance, "zone", s.Zone)
	return strings.TrimSpace(subject + " " + e.Detail())
}
