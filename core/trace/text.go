package trace

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"vanillabridge/core/fault"
)

// WriteText writes each entry as a line of text: time, process, zone, kind, subject and details.
func WriteText(w io.Writer, entries []Entry) error {
	out := bufio.NewWriter(w)
	processWidth, zoneWidth := 0, 0
	for _, e := range entries {
		processWidth = max(processWidth, len(e.Process))
		zoneWidth = max(zoneWidth, len(e.Zone))
	}
	for _, e := range entries {
		line := fmt.Sprintf("%s %-*s %-*s %-15s %s", e.Stamp.FormatUTC(), processWidth, e.Process, zoneWidth, e.Zone, e.Event.Kind(), Describe(e.Event))
		_, _ = out.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	if err := out.Flush(); err != nil {
		return fault.Wrap(err, "write %d events as text", len(entries))
	}
	return nil
}

// FormatUTC formats the stamp as a date and time in UTC, followed by its count.
func (s Stamp) FormatUTC() string {
	return fmt.Sprintf("%s+%d", time.UnixMilli(int64(s.Time)).UTC().Format("2006-01-02T15:04:05.000"), s.Count)
}

// Describe formats the subject and the details of an event as "name=value" pairs.
func Describe(e Event) string {
	s := e.EventSubject()
	task := ""
	if s.Task.Job != "" {
		task = s.Task.String()
	}
	subject := formatFields("task", task, "job", s.Job, "request", s.Request, "worker", s.Worker, "server", s.Server,
		"service", s.Service, "instance", s.Instance, "zone", s.Zone)
	return strings.TrimSpace(subject + " " + e.Detail())
}
