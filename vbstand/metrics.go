package main

import (
	"github.com/spf13/cobra"

	"vanillabridge/vbstand/admin"
)

func metricsCommand() *cobra.Command {
	var dir, label string
	cmd := &cobra.Command{
		Use:   "metrics NAME=ADDRESS... --dir DIR",
		Short: "Save the metrics of instances for the report",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			targets, err := parseTargets(args)
			if err != nil {
				return err
			}
			return admin.SaveMetrics(cmd.Context(), targets, dir, label)
		},
	}
	f := cmd.Flags()
	f.StringVar(&dir, "dir", "", "folder for the files")
	f.StringVar(&label, "label", "end", "moment that the files show: begin or end")
	_ = cmd.MarkFlagRequired("dir")
	return cmd
}
