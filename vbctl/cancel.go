package main

import (
	"context"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"vanillabridge/core/proto"
	"vanillabridge/vbctl/client"
)

const cancelText = `Cancel cancels a job: waiting tasks are removed and running tasks are stopped. A
job that has already ended does not change, so the command can be repeated.`

const cancelExamples = `  vbctl cancel report/2026-12-05 --server 10.0.1.1:8080`

func (a *app) cancelCommand() *cobra.Command {
	return &cobra.Command{
		Use: "cancel ID", Short: "Cancel a job",
		Long: cancelText, Example: cancelExamples, Args: cobra.ExactArgs(1),
		RunE: a.withErrorStatus(func(ctx context.Context, args []string) error { return a.cancel(ctx, args[0]) }),
	}
}

func (a *app) cancel(ctx context.Context, id string) error {
	path, err := jobPath(id)
	if err != nil {
		return err
	}
	c, err := a.newClient()
	if err != nil {
		return err
	}
	var reply proto.JobReply
	if err := c.Do(ctx, client.Request{Method: http.MethodDelete, Path: path}, &reply); err != nil {
		return withOutcomeStatus(err)
	}
	return a.writeAnswer(reply, func(w io.Writer) { printJob(w, reply) })
}
