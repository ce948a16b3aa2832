package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"vanillabridge/core/proto"
	"vanillabridge/core/spec"
	"vanillabridge/vbctl/client"
)

const configText = `Config prints the configuration in force, with all defaults filled in. With
--diff it prints the changes from the configuration in force to a file.`

const configExamples = `  vbctl config --server 10.0.1.1:8080 > cell.ini
  vbctl config --diff new.ini --server 10.0.1.1:8080`

func (a *app) configCommand() *cobra.Command {
	var diff string
	command := &cobra.Command{
		Use: "config", Short: "Print the configuration in force",
		Long: configText, Example: configExamples, Args: cobra.NoArgs,
		RunE: a.withErrorStatus(func(ctx context.Context, _ []string) error { return a.showConfig(ctx, diff) }),
	}
	command.Flags().StringVar(&diff, "diff", "", "print the changes from the configuration in force to this file")
	return command
}

func (a *app) showConfig(ctx context.Context, file string) error {
	c, err := a.newClient()
	if err != nil {
		return err
	}
	var reply proto.ConfigReply
	if err := c.Do(ctx, client.Request{Method: http.MethodGet, Path: "/v1/config"}, &reply); err != nil {
		return err
	}
	if file != "" {
		return a.showConfigDiff(reply, file)
	}
	return a.writePlain(reply, reply.Document)
}

func (a *app) showConfigDiff(reply proto.ConfigReply, file string) error {
	text, err := a.readConfigFile(file)
	if err != nil {
		return err
	}
	from, err := spec.Parse(reply.Document)
	if err != nil {
		return fmt.Errorf("parse the configuration in force: %w", err)
	}
	to, err := spec.Parse(text)
	if err != nil {
		return fmt.Errorf("parse %s: %w", file, err)
	}
	diff := spec.Diff(from, to)
	return a.writePlain(proto.SubmitReply{Version: reply.Version, Diff: diff}, diff)
}
