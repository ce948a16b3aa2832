package main

import (
	"flag"
	"io"
	"log/slog"
	"os"
	"strconv"

	"k8s.io/klog/v2"

	"vanillabridge/vbridged/config"
)

// debugVerbosity is the klog verbosity that corresponds to the level debug.
const debugVerbosity = 2

// openLog makes klog write JSON lines to the configured file, or to standard error.
func openLog(c config.Log) (io.Closer, error) {
	out := io.WriteCloser(nopCloser{os.Stderr})
	if c.File != "" {
		file, err := openAppend("[log] file", c.File)
		if err != nil {
			return nil, err
		}
		out = file
	}
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: slogLevel(c.Level)})
	klog.SetSlogLogger(slog.New(handler))
	if c.Level == config.LevelDebug {
		flags := flag.NewFlagSet("klog", flag.ContinueOnError)
		klog.InitFlags(flags)
		if err := flags.Set("v", strconv.Itoa(debugVerbosity)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func slogLevel(l config.Level) slog.Level {
	switch l {
	case config.LevelDebug:
		return slog.Level(-debugVerbosity)
	case config.LevelWarn:
		return slog.LevelWarn
	case config.LevelError:
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}

// nopCloser adds a Close method that does not close the writer, to keep standard error open.
type nopCloser struct{ io.Writer }

// Close does nothing.
func (nopCloser) Close() error { return nil }

// warnUnencrypted logs a warning if the daemon listens on a non-loopback address without TLS.
func warnUnencrypted(s config.Settings) {
	if s.TLS.Certificate != "" {
		return
	}
	if !s.Listen.HTTPAddress.Addr().IsLoopback() || !s.Listen.PeerAddress.Addr().IsLoopback() {
		klog.InfoS("warning: listening on a non-loopback address without TLS, traffic is not encrypted", "http", s.Listen.HTTPAddress.String(), "peer", s.Listen.PeerAddress.String())
	}
}
