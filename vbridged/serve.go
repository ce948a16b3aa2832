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
It then refuses new requests, ends those in progress within [drain] time and exits with status 0.
Wrong settings and a port in use give one line for each fault and status 2.`,
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

// serve runs one life of the daemon.
func serve(ctx context.Context, settings config.Settings) error {
	logs, err := openLog(settings.Log)
	if err != nil {
		return err
	}
	defer logs.Close()
	events, err := openEvents(settings.Trace)
	if err != nil {
		return err
	}
	defer events.Close()
	warnPlain(settings)
	source := clock.NewSystem()
	life := server.NewLife()
	options := trace.Options{
		Process: string(settings.Instance.Name) + "#" + strconv.FormatUint(uint64(life), 16),
		Zone:    settings.Instance.Zone,
		Source:  source,
		Size:    settings.Trace.Size,
	}
	if events.file != nil {
		options.Sink = events.file
	}
	recorder := trace.NewRecorder(options)
	recorder.Merge(events.last())
	s, err := server.New(server.Options{
		Settings: settings,
		Version:  version,
		Recorder: recorder,
		Clock:    source,
		Life:     life,
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return s.Serve(ctx)
}

// openAppend opens a file for appending; without a name it returns one that is never written.
func openAppend(key, name string) (io.WriteCloser, error) {
	if name == "" {
		return discard{}, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "%s: %v", key, err)
	}
	return f, nil
}

type discard struct{}

// Write drops p.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Close does nothing.
func (discard) Close() error { return nil }

// events is the file of the timeline, if the settings name one.
type events struct{ file *trace.File }

func openEvents(t config.Trace) (events, error) {
	if t.File == "" {
		return events{}, nil
	}
	f, err := trace.OpenFile(t.File, int64(t.Limit))
	if err != nil {
		return events{}, fault.Wrap(fault.ErrInvalid, "[trace] file: %v", err)
	}
	return events{file: f}, nil
}

// last returns the stamp of the last event of an earlier life of this process.
func (e events) last() trace.Stamp {
	if e.file == nil {
		return trace.Stamp{}
	}
	return e.file.Last()
}

// Close closes the file.
func (e events) Close() {
	if e.file != nil {
		_ = e.file.Close()
	}
}
