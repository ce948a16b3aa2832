package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"vanillabridge/core/model"
	"vanillabridge/vbstand/admin"
	"vanillabridge/vbstand/record"
)

func watchCommand() *cobra.Command {
	var journal string
	var period time.Duration
	cmd := &cobra.Command{
		Use:   "watch NAME=ADDRESS...",
		Short: "Record the current configuration of instances until SIGTERM",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			targets, err := parseTargets(args)
			if err != nil {
				return err
			}
			w, err := record.Open(journal)
			if err != nil {
				return err
			}
			admin.WatchConfigs(cmd.Context(), targets, period, w)
			return w.Close()
		},
	}
	f := cmd.Flags()
	f.StringVar(&journal, "journal", "", "file to which the observations are appended")
	f.DurationVar(&period, "period", 500*time.Millisecond, "time between observations")
	return cmd
}

// parseTargets parses arguments of the form NAME=ADDRESS.
func parseTargets(args []string) ([]admin.Target, error) {
	var targets []admin.Target
	for _, arg := range args {
		name, address, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, fmt.Errorf("target %q is not of the form NAME=ADDRESS", arg)
		}
		targets = append(targets, admin.Target{Name: model.Instance(name), Address: address})
	}
	return targets, nil
}
