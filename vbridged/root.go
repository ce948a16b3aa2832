package main

import "github.com/spf13/cobra"

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "vbridged",
		Short:         "Daemon of a vanillabridge cell",
		Long:          "vbridged runs on every entry instance of a cell. It routes callers' requests to backend servers,\nplaces tasks on workers, and replicates the state of its availability zone and of the cell.",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand())
	return root
}
