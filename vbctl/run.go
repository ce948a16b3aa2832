package main

import (
	"context"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"vanillabridge/core/proto"
	"vanillabridge/vbctl/client"
)

const runText = `Run starts a further run of a batch or a gang of the configuration in force.
The label identifies the run: a command that is sent again with the same label
gets the same job and starts nothing twice. A prefix "zone:" of the label
chooses the availability zone that owns the job.`

const runExamples = `  vbctl run report --run 2026-12-05 --server 10.0.1.1:8080
  vbctl run report --run east-a:extra --server 10.0.1.1:8080,10.0.2.1:8080`

func (a *app) runCommand() *cobra.Command {
	var label string
	command := &cobra.Command{
		Use: "run NAME --run LABEL", Short: "Start a run of a batch or a gang",
		Long: runText, Example: runExamples, Args: cobra.ExactArgs(1),
		RunE: a.action(func(ctx context.Context, args []string) error { return a.startRun(ctx, args[0], label) }),
	}
	command.Flags().StringVar(&label, "run", "", "label of the run (required)")
	_ = command.MarkFlagRequired("run")
	return command
}

func (a *app) startRun(ctx context.Context, name, label string) error {
	if label == "" {
		return usage("--run is empty")
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	request := client.Request{Method: http.MethodPost, Path: "/v1/jobs", Body: proto.RunRequest{Name: name, Run: label}}
	var reply proto.JobReply
	if err := c.Do(ctx, request, &reply); err != nil {
		return outcome(err)
	}
	return a.print(reply, func(w io.Writer) { printJob(w, reply) })
}
