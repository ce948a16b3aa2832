package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"vanillabridge/vbstand/admin"
)

func readyCommand() *cobra.Command {
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "ready NAME=ADDRESS...",
		Short: "Wait until instances are ready",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			targets, err := parseTargets(args)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), limit)
			defer cancel()
			return admin.WaitReady(ctx, targets)
		},
	}
	cmd.Flags().DurationVar(&limit, "limit", 20*time.Second, "maximum wait")
	return cmd
}
