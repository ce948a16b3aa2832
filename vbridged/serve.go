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
	sink, err := openAppend("[trace] file", settings.Trace.File)
	if err != nil {
		return err
	}
	defer sink.Close()
	warnPlain(settings)
	source := clock.NewSystem()
	life := server.NewLife()
	options := trace.Options{
		Process: string(settings.Instance.Name) + "#" + strconv.FormatUint(uint64(life), 16),
		Zone:    settings.Instance.Zone,
		Source:  source,
		Size:    settings.Trace.Size,
	}
	if settings.Trace.File != "" {
		options.Sink = sink
	}
	s, err := server.New(server.Options{
		Settings: settings,
		Version:  version,
		Recorder: trace.NewRecorder(options),
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
