package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"vanillabridge/vbctl/client"
)

type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// app holds the streams and the flags that all subcommands share.
type app struct {
	streams
	servers []string
	output  string
	timeout time.Duration
	caFile  string
	sleep   func(context.Context, time.Duration) error
}

const (
	outputText = "text"
	outputJSON = "json"
)

const rootText = `vbctl checks and submits configurations, starts and watches jobs, and shows
the state and the timeline of a cell.

Requests go to the entry instances that --server lists, in this order, until
one of them answers. A request that is sent again carries the same idempotency
key or run label, so that it takes effect only once.

Exit status:
  0  done
  1  failed
  2  wrong usage
  3  refused; the request did not run
  4  unknown: the request may have run; send the same command again to find out`

// run executes the command line and returns the exit status.
func run(ctx context.Context, args []string, s streams) int {
	return newApp(s).run(ctx, args)
}

func newApp(s streams) *app { return &app{streams: s, sleep: sleep} }

func (a *app) run(ctx context.Context, args []string) int {
	root := a.newRootCommand()
	root.SetArgs(args)
	return a.reportError(root.ExecuteContext(ctx))
}

func (a *app) newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "vbctl",
		Short:         "Operate a vanillabridge cell",
		Long:          rootText,
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetIn(a.in)
	root.SetOut(a.out)
	root.SetErr(a.err)
	flags := root.PersistentFlags()
	flags.StringSliceVar(&a.servers, "server", nil, "HTTP addresses of entry instances, IP:port or http(s)://IP:port, tried in this order")
	flags.StringVarP(&a.output, "output", "o", outputText, "output format: text or json")
	flags.DurationVar(&a.timeout, "timeout", 20*time.Second, "timeout of one attempt at one server")
	flags.StringVar(&a.caFile, "authority", "", "PEM file with the CA certificates that sign the server certificates, for https")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(a.checkCommand(), a.submitCommand(), a.configCommand(), a.statusCommand(), a.runCommand(),
		a.jobCommand(), a.cancelCommand(), a.drainCommand(), a.timelineCommand())
	return root
}

// withErrorStatus wraps the function of a subcommand so that its errors have an exit status.
// Errors without one come from cobra's command-line parser; reportError treats them as wrong usage.
func (a *app) withErrorStatus(f func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if !slices.Contains([]string{outputText, outputJSON}, a.output) {
			return usageErrorf("--output %q is neither text nor json", a.output)
		}
		return withExitStatus(f(cmd.Context(), args))
	}
}

// newClient returns a client for the servers of --server.
func (a *app) newClient() (*client.Client, error) {
	if len(a.servers) == 0 {
		return nil, usageErrorf("--server is missing: name at least one entry instance")
	}
	c, err := client.New(client.Options{Servers: a.servers, Timeout: a.timeout, CAFile: a.caFile})
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	return c, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("interrupted: %w", ctx.Err())
	case <-timer.C:
		return nil
	}
}
