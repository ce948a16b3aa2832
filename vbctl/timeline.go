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

const timelineText = `Timeline gathers the events of all listed servers and files, puts them into
causal order and prints them. A file is the [trace] file of an instance, for
example of one that is dead. A source that cannot be read is reported and left
out; the command fails only if all of them are.

Events are selected by task (NAME/LABEL#INDEX), job, request, instance, zone,
worker, server, service and kind; all filters must agree.`

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
		{"after", "events after this stamp, milliseconds.count"},
		{"limit", "only this many latest events"},
	} {
		values[f.name] = flags.String(f.name, "", f.text)
	}
	flags.StringSliceVar(&kinds, "kind", nil, "events of these kinds")
	flags.StringSliceVar(&files, "file", nil, "event files of instances")
	flags.StringVar(&format, "format", "", "form of the output: text, json or html (default: that of --output)")
	_ = command.RegisterFlagCompletionFunc("format", cobra.FixedCompletions([]string{outputText, outputJSON, formatHTML}, cobra.ShellCompDirectiveNoFileComp))
	_ = command.RegisterFlagCompletionFunc("kind", completeKinds)
	command.RunE = a.action(func(ctx context.Context, _ []string) error {
		query := url.Values{}
		for name, value := range values {
			if *value != "" {
				query.Set(queryName(name), *value)
			}
		}
		for _, k := range kinds {
			query.Add("kind", k)
		}
		return a.timeline(ctx, timelineFlags{query, files, format})
	})
	return command
}

// queryName maps a flag to its key in the query; --server already names the entry instances.
func queryName(flag string) string {
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

func (a *app) timeline(ctx context.Context, f timelineFlags) error {
	filter, err := trace.ParseFilter(f.query)
	if err != nil {
		return usage("%v", err)
	}
	write, err := a.timelineWriter(f.format)
	if err != nil {
		return err
	}
	if len(a.servers)+len(f.files) == 0 {
		return usage("timeline needs --server or --file")
	}
	sources, err := a.sources(ctx, f.files, filter)
	if err != nil {
		return err
	}
	lists := a.gather(sources)
	if len(lists) == 0 {
		return failed("no source of events could be read")
	}
	return write(a.out, filter.Apply(trace.Merge(lists...)))
}

// source is an instance or a file that has events.
type source struct {
	name string
	read func() ([]byte, error)
}

func (a *app) sources(ctx context.Context, files []string, filter trace.Filter) ([]source, error) {
	var sources []source
	for _, file := range files {
		sources = append(sources, source{file, func() ([]byte, error) { return os.ReadFile(file) }})
	}
	if len(a.servers) == 0 {
		return sources, nil
	}
	c, err := a.client()
	if err != nil {
		return nil, err
	}
	request := client.Request{Method: http.MethodGet, Path: "/v1/events", Query: filter.Query()}
	for _, base := range c.Servers() {
		sources = append(sources, source{base, func() ([]byte, error) {
			var text []byte
			err := c.At(base).Do(ctx, request, &text)
			return text, err
		}})
	}
	return sources, nil
}

// gather reads all sources at once, because each dead instance may take the whole timeout, and
// reports those that cannot be read.
func (a *app) gather(sources []source) [][]trace.Entry {
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
			_, _ = fmt.Fprintf(a.err, "vbctl: left out %s: %v\n", s.name, reason(errs[i]))
			continue
		}
		entries, skipped, err := trace.ReadLines(bytes.NewReader(texts[i]))
		if err != nil || skipped > 0 {
			_, _ = fmt.Fprintf(a.err, "vbctl: %s: %d lines are no events\n", s.name, skipped)
		}
		lists = append(lists, entries)
	}
	return lists
}

// reason leaves out the server, which the message names already.
func reason(err error) string {
	var e *client.Error
	if errors.As(err, &e) {
		return e.Text
	}
	return err.Error()
}

func (a *app) timelineWriter(format string) (func(io.Writer, []trace.Entry) error, error) {
	if format == "" {
		format = a.output
	}
	switch format {
	case outputText:
		return trace.WriteText, nil
	case outputJSON:
		return trace.WriteLines, nil
	case formatHTML:
		return trace.WritePicture, nil
	default:
		return nil, usage("--format %q is none of text, json, html", format)
	}
}
