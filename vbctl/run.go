package main

import (
	"context"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"vanillabridge/core/proto"
	"vanillabridge/vbctl/client"
)

const runText = `Run starts another run of a batch or gang of the configuration in force. The
label identifies the run: repeating the command with the same label returns the
same job and starts no second run. A prefix "zone:" of the label selects the
availability zone that owns the job.`

const runExamples = `  vbctl run report --run 2026-12-05 --server 10.0.1.1:8080
  vbctl run report --run east-a:extra --server 10.0.1.1:8080,10.0.2.1:8080`

func (a *app) runCommand() *cobra.Command {
	var label string
	command := &cobra.Command{
		Use: "run NAME --run LABEL", Short: "Start a run of a batch or a gang",
		Long: runText, Example: runExamples, Args: cobra.ExactArgs(1),
		RunE: a.withErrorStatus(func(ctx context.Context, args []string) error { return a.startRun(ctx, args[0], label) }),
	}
	command.Flags().StringVar(&label, "run", "", "label of the run (required)")
	_ = command.MarkFlagRequired("run")
	return command
}

func (a *app) startRun(ctx context.Context, name, label string) error {
	if label == "" {
		return usageErrorf("--run is empty")
	}
	c, err := a.newClient()
	if err != nil {
		return err
	}
	request := client.Request{Method: http.MethodPost, Path: "/v1/jobs", Body: proto.RunRequest{Name: name, RunLabel: label}}
	var reply proto.JobReply
	if err := c.Do(ctx, request, &reply); err != nil {
		return withOutcomeStatus(err)
	}
	return a.writeAnswer(reply, func(w io.Writer) { printJob(w, reply) })
}
