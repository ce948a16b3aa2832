package main

import (
	"github.com/spf13/cobra"

	"vanillabridge/vbstand/report"
)

func reportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report DIR",
		Short: "Check the promises and print the measures of a folder of journals",
		Long: `Reads all journals (*.jsonl) and metrics (metrics-begin-*.txt, metrics-end-*.txt) of a folder,
checks each promise and prints the measures. A broken promise gives a line that names it and a
status other than 0.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return report.Print(cmd.OutOrStdout(), args[0]) },
	}
}
