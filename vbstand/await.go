package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"vanillabridge/core/model"
	"vanillabridge/vbstand/admin"
	"vanillabridge/vbstand/entry"
	"vanillabridge/vbstand/record"
)

func awaitCommand() *cobra.Command {
	var entries, journal string
	var accepted int64
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "await JOB... --entries ADDRESS,...",
		Short: "Wait for the end of jobs and record their outcome",
		Long: `Polls each job (NAME/RUN) until all its tasks have ended, or are running if it is a service, and
prints the outcome.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			w, err := record.Open(journal)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), limit)
			defer cancel()
			jobs := make([]record.Job, len(args))
			var group sync.WaitGroup
			for i, name := range args {
				list, err := entry.NewList(http.DefaultClient, splitList(entries))
				if err != nil {
					return err
				}
				group.Go(func() {
					jobs[i] = admin.AwaitJob(ctx, list, model.JobID(name), record.Micros(accepted))
					w.Write(record.Line{Job: &jobs[i]})
				})
			}
			group.Wait()
			var failed error
			for _, job := range jobs {
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s %s of %d: %+v %s\n",
					job.Kind, job.Job, job.Count, job.Counts, job.Reason); err != nil {
					return err
				}
				if job.Kind == "" {
					failed = errors.Join(failed, fmt.Errorf("no answer about job %s: %s", job.Job, job.Reason))
				}
			}
			return errors.Join(failed, w.Close())
		},
	}
	f := cmd.Flags()
	f.StringVar(&entries, "entries", "", "entry addresses, separated by commas")
	f.StringVar(&journal, "journal", "", "file to which the outcomes are appended")
	f.Int64Var(&accepted, "accepted", 0, "time at which the jobs were accepted, in microseconds since the Unix epoch")
	f.DurationVar(&limit, "limit", 30*time.Second, "maximum wait")
	_ = cmd.MarkFlagRequired("entries")
	return cmd
}
