package main

import (
	"time"

	"github.com/spf13/cobra"

	"vanillabridge/vbstand/caller"
	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/stats"
)

func callerCommand() *cobra.Command {
	var opt caller.Options
	var entries, journal, mix string
	cmd := &cobra.Command{
		Use:   "caller --service SERVICE --entries ADDRESS,...",
		Short: "Send requests and record their outcomes",
		Long: `Sends a bounded number of requests, verifies each answer, and prints waiting times and goodput.
After a lost answer it resends the request with the same key through another entry instance.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opt.Entries = splitList(entries)
			var err error
			if opt.Mix, err = caller.ParseMix(mix); err != nil {
				return err
			}
			w, err := record.Open(journal)
			if err != nil {
				return err
			}
			generator, err := caller.New(opt, w)
			if err != nil {
				return err
			}
			sends := generator.Run(cmd.Context())
			if err := stats.Print(cmd.OutOrStdout(), "class", stats.SummariseByClass(sends)); err != nil {
				return err
			}
			return w.Close()
		},
	}
	f := cmd.Flags()
	f.StringVar((*string)(&opt.Name), "name", "caller", "name of the caller")
	f.StringVar(&opt.Service, "service", "", "service to call")
	f.StringVar(&entries, "entries", "", "entry addresses, separated by commas; requests go to them in turn")
	f.StringVar(&journal, "journal", "", "file to which the sends are appended")
	f.IntVar(&opt.RequestCount, "count", 100, "number of requests")
	f.Float64Var(&opt.Rate, "rate", 0, "requests per second; 0 is as fast as --workers allow")
	f.IntVar(&opt.Concurrency, "workers", 8, "concurrent requests")
	f.DurationVar(&opt.MaxRunTime, "time", time.Minute, "time after which no new request is sent")
	f.StringVar(&mix, "mix", "low=1,normal=1,urgent=1", "weights of the classes")
	f.Float64Var(&opt.NonIdempotentShare, "once", 0.3, "share of non-idempotent requests")
	f.DurationVar(&opt.Deadline, "deadline", 5*time.Second, "deadline of a request")
	f.IntVar(&opt.MaxBodyBytes, "body", 512, "maximum size of a request body in bytes")
	f.IntVar(&opt.MaxResends, "resends", 3, "maximum number of resends after lost answers")
	f.DurationVar(&opt.ResendDelay, "pause", 300*time.Millisecond, "delay before a resend")
	f.StringVar(&opt.Phase, "phase", "base", "name of the part of the test, for the report")
	f.Uint64Var(&opt.Seed, "seed", 1, "seed of the mix")
	for _, name := range []string{"service", "entries"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}
