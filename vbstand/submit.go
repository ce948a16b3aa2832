package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"vanillabridge/vbstand/admin"
	"vanillabridge/vbstand/entry"
	"vanillabridge/vbstand/record"
)

func submitCommand() *cobra.Command {
	var entries, journal, key, mark string
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "submit FILE --entries ADDRESS,...",
		Short: "Submit a configuration and record the answer",
		Long: `Submits the configuration in FILE and prints the accepted version. After a lost answer it
resubmits the configuration with the same key through the next instance.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("read configuration: %w", err)
			}
			list, err := entry.NewList(http.DefaultClient, splitList(entries))
			if err != nil {
				return err
			}
			w, err := record.Open(journal)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), limit)
			defer cancel()
			s := admin.SubmitConfig(ctx, list, key, mark, string(text))
			w.Write(record.Line{Submission: &s})
			if err := w.Close(); err != nil {
				return err
			}
			if !s.Accepted {
				return fmt.Errorf("submit %s: status %d: %s", args[0], s.Status, s.Error)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), s.Version)
			return err
		},
	}
	f := cmd.Flags()
	f.StringVar(&entries, "entries", "", "entry addresses, separated by commas")
	f.StringVar(&journal, "journal", "", "file to which the answer is appended")
	f.StringVar(&key, "key", "", "idempotency key of the submission")
	f.StringVar(&mark, "mark", "", "name of a caller section that only this document has")
	f.DurationVar(&limit, "limit", 20*time.Second, "maximum wait for a final answer")
	for _, name := range []string{"entries", "key"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}
