package main

import (
	"context"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"vanillabridge/vbctl/client"
)

const drainText = `Drain starts a graceful shutdown of one entry instance: the instance reports
not ready, completes the requests in progress, transfers leadership and exits.
--server must name exactly this instance, so that no other instance is drained
instead.`

const drainExamples = `  vbctl drain --server 10.0.1.1:8080`

func (a *app) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "drain", Short: "Start a graceful shutdown of one instance",
		Long: drainText, Example: drainExamples, Args: cobra.NoArgs,
		RunE: a.withErrorStatus(func(ctx context.Context, _ []string) error { return a.drain(ctx) }),
	}
}

func (a *app) drain(ctx context.Context) error {
	if len(a.servers) != 1 {
		return usageErrorf("drain needs exactly one --server, got %d", len(a.servers))
	}
	c, err := a.newClient()
	if err != nil {
		return err
	}
	if err := c.Do(ctx, client.Request{Method: http.MethodPost, Path: "/v1/drain"}, nil); err != nil {
		return withOutcomeStatus(err)
	}
	answer := struct {
		Server string `json:"server"`
	}{c.Servers()[0]}
	return a.writeAnswer(answer, func(w io.Writer) { writeLine(w, "draining %s", answer.Server) })
}
