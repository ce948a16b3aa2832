// Command vbstand simulates workers, backend servers, callers and operators for demonstrations and
// tests, and reports on their journals.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

var version = "unknown"

func main() {
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		klog.ErrorS(err, "vbstand failed")
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "vbstand",
		Short:         "Stand-ins for workers, backend servers and callers",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		workerCommand(), backendCommand(), callerCommand(), portsCommand(),
		readyCommand(), submitCommand(), awaitCommand(), watchCommand(), metricsCommand(), reportCommand(),
	)
	return root
}

// splitList splits a list at commas and spaces and omits empty parts.
func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}
