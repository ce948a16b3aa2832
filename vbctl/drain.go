package main

import (
	"context"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"vanillabridge/vbctl/client"
)

const drainText = `Drain begins the planned stop of one entry instance: it reports not ready,
finishes the requests in progress, hands leadership over and exits. --server
must name exactly that instance, because another one must not be drained in its
place.`

const drainExamples = `  vbctl drain --server 10.0.1.1:8080`

func (a *app) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "drain", Short: "Begin the planned stop of one instance",
		Long: drainText, Example: drainExamples, Args: cobra.NoArgs,
		RunE: a.action(func(ctx context.Context, _ []string) error { return a.drain(ctx) }),
	}
}

func (a *app) drain(ctx context.Context) error {
	if len(a.servers) != 1 {
		return usage("drain needs exactly one --server, got %d", len(a.servers))
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	if err := c.Do(ctx, client.Request{Method: http.MethodPost, Path: "/v1/drain"}, nil); err != nil {
		return outcome(err)
	}
	answer := struct {
		Server string `json:"server"`
	}{c.Servers()[0]}
	return a.print(answer, func(w io.Writer) { line(w, "draining %s", answer.Server) })
}
