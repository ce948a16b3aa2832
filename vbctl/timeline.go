package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sync"

	"github.com/spf13/cobra"

	"vanillabridge/core/trace"
	"vanillabridge/vbctl/client"
)

const formatHTML = "html"

const timelineText = `Timeline reads the events of all given servers and files, sorts them into causal
order and prints them. A file is the [trace] file of an instance, for example of
one that is not running. A source that cannot be read is reported and skipped;
the command fails only if no source can be read.

Events are selected by task (NAME/LABEL#INDEX), job, request, instance, zone,
worker, server, service and kind; an event must match all filters.`

const timelineExamples = `  vbctl timeline --job report/1 --server 10.0.1.1:8080,10.0.1.2:8080
  vbctl timeline --request r-17 --file east-2.events --server 10.0.1.1:8080
  vbctl timeline --format html --limit 500 --server 10.0.1.1:8080 > timeline.html`

type timelineFlags struct {
	query  url.Values
	files  []string
	format string
}

func (a *app) timelineCommand() *cobra.Command {
	var files, kinds []string
	var format string
	values := map[string]*string{}
	command := &cobra.Command{
		Use: "timeline", Short: "Print the events of the cell in causal order",
		Long: timelineText, Example: timelineExamples, Args: cobra.NoArgs,
	}
	flags := command.Flags()
	for _, f := range []struct{ name, text string }{
		{"task", "events of this task, NAME/LABEL#INDEX"},
		{"job", "events of this job and its tasks, NAME/LABEL"},
		{"request", "events of this request"},
		{"instance", "events recorded by or about this instance"},
		{"zone", "events recorded in or about this availability zone"},
		{"worker", "events of this worker"},
		{"server-id", "events of this backend server"},
		{"service", "events of this service"},
		{"after", "events after this timestamp, as milliseconds.count"},
		{"limit", "maximum number of events; the latest are kept"},
	} {
		values[f.name] = flags.String(f.name, "", f.text)
	}
	flags.StringSliceVar(&kinds, "kind", nil, "events of these kinds")
	flags.StringSliceVar(&files, "file", nil, "event files of instances")
	flags.StringVar(&format, "format", "", "output format: text, json or html (default: the format of --output)")
	_ = command.RegisterFlagCompletionFunc("format", cobra.FixedCompletions([]string{outputText, outputJSON, formatHTML}, cobra.ShellCompDirectiveNoFileComp))
	_ = command.RegisterFlagCompletionFunc("kind", completeKinds)
	command.RunE = a.withErrorStatus(func(ctx context.Context, _ []string) error {
		query := url.Values{}
		for name, value := range values {
			if *value != "" {
				query.Set(queryKey(name), *value)
			}
		}
		for _, k := range kinds {
			query.Add("kind", k)
		}
		return a.showTimeline(ctx, timelineFlags{query, files, format})
	})
	return command
}

// queryKey returns the query key of a filter flag. The filter for backend servers is --server-id,
// because --server names the entry instances.
func queryKey(flag string) string {
	if flag == "server-id" {
		return "server"
	}
	return flag
}

func completeKinds(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	var names []string
	for _, k := range trace.Kinds() {
		names = append(names, string(k))
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func (a *app) showTimeline(ctx context.Context, f timelineFlags) error {
	filter, err := trace.ParseFilter(f.query)
	if err != nil {
		return usageErrorf("%v", err)
	}
	write, err := a.selectWriter(f.format)
	if err != nil {
		return err
	}
	if len(a.servers)+len(f.files) == 0 {
		return usageErrorf("timeline needs --server or --file")
	}
	sources, err := a.eventSources(ctx, f.files, filter)
	if err != nil {
		return err
	}
	lists := a.readSources(sources)
	if len(lists) == 0 {
		return failureErrorf("none of the event sources could be read")
	}
	return write(a.out, filter.Apply(trace.Merge(lists...)))
}

// source is an instance or a file from which events are read.
type source struct {
	name string
	read func() ([]byte, error)
}

func (a *app) eventSources(ctx context.Context, files []string, filter trace.Filter) ([]source, error) {
	var sources []source
	for _, file := range files {
		sources = append(sources, source{file, func() ([]byte, error) { return os.ReadFile(file) }})
	}
	if len(a.servers) == 0 {
		return sources, nil
	}
	c, err := a.newClient()
	if err != nil {
		return nil, err
	}
	request := client.Request{Method: http.MethodGet, Path: "/v1/events", Query: filter.Query()}
	for _, base := range c.Servers() {
		sources = append(sources, source{base, func() ([]byte, error) {
			var text []byte
			err := c.ForServer(base).Do(ctx, request, &text)
			return text, err
		}})
	}
	return sources, nil
}

// readSources reads all sources concurrently, because each unreachable instance may take the whole
// timeout. It reports and skips sources that cannot be read.
func (a *app) readSources(sources []source) [][]trace.Entry {
	texts := make([][]byte, len(sources))
	errs := make([]error, len(sources))
	var readers sync.WaitGroup
	for i, s := range sources {
		readers.Go(func() { texts[i], errs[i] = s.read() })
	}
	readers.Wait()
	var lists [][]trace.Entry
	for i, s := range sources {
		if errs[i] != nil {
			_, _ = fmt.Fprintf(a.err, "vbctl: skipped %s: %v\n", s.name, errorText(errs[i]))
			continue
		}
		entries, skipped, err := trace.ReadLines(bytes.NewReader(texts[i]))
		if err != nil || skipped > 0 {
			_, _ = fmt.Fprintf(a.err, "vbctl: %s: %d lines are not valid events\n", s.name, skipped)
		}
		lists = append(lists, entries)
	}
	return lists
}

// errorText returns the message of an error without the server, which the caller already prints.
func errorText(err error) string {
	var e *client.Error
	if errors.As(err, &e) {
		return e.Text
	}
	return err.Error()
}

func (a *app) selectWriter(format string) (func(io.Writer, []trace.Entry) error, error) {
	if format == "" {
		format = a.output
	}
	switch format {
	case outputText:
		return trace.WriteText, nil
	case outputJSON:
		return trace.WriteLines, nil
	case formatHTML:
		return trace.WriteHTML, nil
	default:
		return nil, usageErrorf("--format %q is none of text, json, html", format)
	}
}
