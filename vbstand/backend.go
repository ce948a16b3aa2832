package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/server"
)

func backendCommand() *cobra.Command {
	var opt server.Options
	var entries, journal string
	cmd := &cobra.Command{
		Use:   "backend --name NAME --zone ZONE --service SERVICE --entries ADDRESS,...",
		Short: "Answer requests as a backend server",
		Long: `Announces itself through POST /v1/servers/announce and answers requests after a service time.
On SIGTERM it announces that the server is leaving, waits for requests in progress and exits.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opt.Entries = splitList(entries)
			if !slices.Contains(server.Faults(), opt.Fault) {
				return fmt.Errorf("fault %q is not one of %q", opt.Fault, server.Faults())
			}
			w, err := record.Open(journal)
			if err != nil {
				return err
			}
			backend, err := server.New(opt, w)
			if err != nil {
				return err
			}
			return errors.Join(backend.Run(cmd.Context()), w.Close())
		},
	}
	f := cmd.Flags()
	f.StringVar((*string)(&opt.Name), "name", "", "name of the backend server")
	f.StringVar((*string)(&opt.Zone), "zone", "", "availability zone")
	f.StringVar(&opt.Service, "service", "", "service that it runs")
	f.StringVar(&opt.Listen, "listen", "127.0.0.1:0", "IP number and port to listen on")
	f.StringVar(&entries, "entries", "", "entry addresses, separated by commas")
	f.StringVar(&journal, "journal", "", "file to which the runs are appended")
	f.IntVar(&opt.Slots, "slots", 8, "maximum number of concurrent requests")
	f.IntVar(&opt.MaxConns, "conns", 64, "maximum number of open connections")
	f.DurationVar(&opt.ServiceTime, "time", 20*time.Millisecond, "service time of a request")
	f.IntVar(&opt.AnswerBytes, "body", 1024, "minimum size of an answer in bytes")
	f.StringVar((*string)(&opt.Fault), "fault", "", "injected fault: never, reset, truncate, error or slow")
	f.Float64Var(&opt.FaultRatio, "share", 1, "fraction of the requests into which the fault is injected")
	f.Uint64Var(&opt.Seed, "seed", 1, "seed of the choice of requests with a fault")
	f.DurationVar(&opt.AnnounceInterval, "period", 500*time.Millisecond, "time between announcements")
	f.DurationVar(&opt.ShutdownDelay, "linger", 5*time.Second, "time for which new requests are still served after SIGTERM")
	f.DurationVar(&opt.ShutdownTimeout, "grace", 30*time.Second, "maximum wait for requests in progress")
	f.BoolVar(&opt.AnnounceActive, "count", true, "announce the number of requests in progress")
	for _, name := range []string{"name", "zone", "service", "entries"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}
