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

// app holds the flags that all subcommands share.
type app struct {
	streams
	servers   []string
	output    string
	timeout   time.Duration
	authority string
	sleep     func(context.Context, time.Duration) error
}

const (
	outputText = "text"
	outputJSON = "json"
)

const rootText = `vbctl checks and submits configurations, starts and watches jobs, and shows
the state and the timeline of a cell.

Calls go to the entry instances that --server lists, one after the other until
one answers. A call that is sent again carries the same key or label, so that
nothing is done twice.

Exit status:
  0  done
  1  failed
  2  wrong usage
  3  refused, and certainly not run
  4  unknown: it may have run; send the same command again to find out`

// run executes the command line and returns the exit status.
func run(ctx context.Context, args []string, s streams) int {
	return newApp(s).run(ctx, args)
}

func newApp(s streams) *app { return &app{streams: s, sleep: sleep} }

func (a *app) run(ctx context.Context, args []string) int {
	root := a.root()
	root.SetArgs(args)
	return a.report(root.ExecuteContext(ctx))
}

func (a *app) root() *cobra.Command {
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
	flags.StringVarP(&a.output, "output", "o", outputText, "form of the output: text or json")
	flags.DurationVar(&a.timeout, "timeout", 20*time.Second, "time for one attempt at one server")
	flags.StringVar(&a.authority, "authority", "", "file with the certificates that sign the servers' ones (PEM), for https")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(a.checkCommand(), a.submitCommand(), a.configCommand(), a.statusCommand(), a.runCommand(),
		a.jobCommand(), a.cancelCommand(), a.drainCommand(), a.timelineCommand())
	return root
}

// action makes a subcommand's function return errors with an exit status. Errors without one
// come from the parser of the command line and mean wrong usage.
func (a *app) action(f func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if !slices.Contains([]string{outputText, outputJSON}, a.output) {
			return usage("--output %q is neither text nor json", a.output)
		}
		return withStatus(f(cmd.Context(), args))
	}
}

// client returns a client for the listed servers.
func (a *app) client() (*client.Client, error) {
	if len(a.servers) == 0 {
		return nil, usage("--server is missing: name at least one entry instance")
	}
	c, err := client.New(client.Options{Servers: a.servers, Timeout: a.timeout, Authority: a.authority})
	if err != nil {
		return nil, usage("%v", err)
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
