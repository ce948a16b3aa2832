package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/spf13/cobra"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/trace"
	"vanillabridge/vbridged/config"
	"vanillabridge/vbridged/server"
)

func serveCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run the daemon until SIGTERM",
		Long: `Runs the daemon with the settings in FILE until SIGTERM, SIGINT or a drain by an operator.
It then rejects new requests, finishes those in progress within [drain] time and exits with status 0.
Invalid settings and addresses in use are reported on one line each, with exit status 2.`,
		Example: "  vbridged serve --settings /etc/vanillabridge/east1.ini",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := config.Load(file)
			if err != nil {
				return err
			}
			return serve(c.Context(), settings)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file (INI)")
	_ = c.MarkFlagRequired("settings")
	return c
}

// serve runs the daemon until ctx is canceled, a signal arrives or an operator drains the instance.
func serve(ctx context.Context, settings config.Settings) error {
	logs, err := openLog(settings.Log)
	if err != nil {
		return err
	}
	defer logs.Close()
	events, err := openEventFile(settings.Trace)
	if err != nil {
		return err
	}
	defer events.Close()
	warnUnencrypted(settings)
	source := clock.NewSystem()
	incarnation := server.NewIncarnation()
	options := trace.Options{
		Process:  string(settings.Instance.Name) + "#" + strconv.FormatUint(uint64(incarnation), 16),
		Zone:     settings.Instance.Zone,
		Source:   source,
		Capacity: settings.Trace.MaxEvents,
	}
	if events.file != nil {
		options.Sink = events.file
	}
	recorder := trace.NewRecorder(options)
	recorder.Merge(events.lastStamp()) // new events get later stamps than those of an earlier run
	s, err := server.New(server.Options{
		Settings:    settings,
		Version:     version,
		Recorder:    recorder,
		Clock:       source,
		Incarnation: incarnation,
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return s.Serve(ctx)
}

// openAppend opens a file for appending; key names the setting in errors. If name is empty, it returns
// a writer that discards its input.
func openAppend(key, name string) (io.WriteCloser, error) {
	if name == "" {
		return discardCloser{}, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "%s: %v", key, err)
	}
	return f, nil
}

type discardCloser struct{}

// Write discards p.
func (discardCloser) Write(p []byte) (int, error) { return len(p), nil }

// Close does nothing.
func (discardCloser) Close() error { return nil }

// eventFile is the file for the events of the timeline; file is nil if the settings name none.
type eventFile struct{ file *trace.File }

func openEventFile(t config.Trace) (eventFile, error) {
	if t.File == "" {
		return eventFile{}, nil
	}
	f, err := trace.OpenFile(t.File, int64(t.MaxFileBytes))
	if err != nil {
		return eventFile{}, fault.Wrap(fault.ErrInvalid, "[trace] file: %v", err)
	}
	return eventFile{file: f}, nil
}

// lastStamp returns the timestamp of the last event that an earlier run of the daemon wrote to the file.
func (e eventFile) lastStamp() trace.Stamp {
	if e.file == nil {
		return trace.Stamp{}
	}
	return e.file.LastStamp()
}

// Close closes the file, if there is one.
func (e eventFile) Close() {
	if e.file != nil {
		_ = e.file.Close()
	}
}
