package main

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"vanillabridge/core/clock"
	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/worker"
)

func workerCommand() *cobra.Command {
	var opt worker.Options
	var entries, journal string
	cmd := &cobra.Command{
		Use:   "worker --name NAME --zone ZONE --entries ADDRESS,...",
		Short: "Run simulated tasks under leases",
		Long: `Announces itself through POST /v1/workers/sync and runs the assigned tasks as timers.
On SIGTERM it stops all tasks, reports their outcomes and exits.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opt.Entries = splitList(entries)
			w, err := record.Open(journal)
			if err != nil {
				return err
			}
			simulated, err := worker.New(opt, w)
			if err != nil {
				return err
			}
			return errors.Join(simulated.Run(cmd.Context(), clock.NewSystem()), w.Close())
		},
	}
	f := cmd.Flags()
	f.StringVar((*string)(&opt.Name), "name", "", "name of the worker")
	f.StringVar((*string)(&opt.Zone), "zone", "", "availability zone")
	f.StringVar((*string)(&opt.Rack), "rack", "r1", "rack")
	f.StringVar(&entries, "entries", "", "entry addresses, separated by commas")
	f.StringVar(&journal, "journal", "", "file to which the starts and ends of tasks are appended")
	f.Int64Var((*int64)(&opt.Size.CPU), "cpu", 16000, "processor in millicores")
	f.Int64Var((*int64)(&opt.Size.Memory), "memory", 32768, "memory in MiB")
	f.Int64Var((*int64)(&opt.Size.Accel), "accel", 0, "accelerators")
	f.Uint64Var(&opt.Seed, "seed", 1, "seed of the random ratios")
	f.Float64Var(&opt.UsageRatio, "sizes", 0, "ratio of actual to declared usage; 0 gives each job a random ratio of 0.25 to 4")
	f.Float64Var(&opt.RunTimeRatio, "times", 0, "ratio of actual to declared run time; 0 gives each job a random ratio of 0.25 to 4")
	f.BoolVar(&opt.FailStarts, "nostart", false, "fail every start")
	f.BoolVar(&opt.IgnoreCommands, "deaf", false, "ignore throttle, checkpoint and stop; the end of a lease still stops tasks")
	f.DurationVar(&opt.LeaveTimeout, "grace", 5*time.Second, "maximum wait at shutdown for the confirmation of outcomes")
	for _, name := range []string{"name", "zone", "entries"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}
