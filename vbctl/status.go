package main

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"vanillabridge/core/proto"
	"vanillabridge/vbctl/client"
)

const statusText = `Status prints the state of the cell as seen by the first server in --server
that answers: instances, groups with leader and voters, and backend servers.`

const statusExamples = `  vbctl status --server 10.0.1.1:8080,10.0.2.1:8080
  vbctl status --server 10.0.1.1:8080 --output json`

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Print the state of the cell",
		Long: statusText, Example: statusExamples, Args: cobra.NoArgs,
		RunE: a.withErrorStatus(func(ctx context.Context, _ []string) error { return a.showStatus(ctx) }),
	}
}

func (a *app) showStatus(ctx context.Context) error {
	c, err := a.newClient()
	if err != nil {
		return err
	}
	var reply proto.StatusReply
	if err := c.Do(ctx, client.Request{Method: http.MethodGet, Path: "/v1/status"}, &reply); err != nil {
		return err
	}
	return a.writeAnswer(reply, func(w io.Writer) { printStatus(w, reply) })
}

func printStatus(w io.Writer, r proto.StatusReply) {
	writeLine(w, "instance\t%s\tzone %s\tregion %s\tconfig %d\t%s", r.Instance, r.Zone, r.Region, r.ConfigVersion, choose(r.Ready, "ready", "not ready"))
	for _, reason := range r.Reasons {
		writeLine(w, "reason\t%s", reason)
	}
	writeLine(w, "workers\t%d", r.Workers)
	for _, i := range r.Instances {
		writeLine(w, "peer\t%s\tzone %s\tconfig %d\t%s", i.Instance, i.Zone, i.ConfigVersion, choose(i.Reachable, "reached", "not reached"))
	}
	for _, g := range r.Groups {
		writeLine(w, "group\t%s\tleader %s\tterm %d\tapplied %d\tvoters %s", g.Group, choose(g.Leader != "", g.Leader, "none"), g.Term, g.AppliedIndex, strings.Join(g.Voters, ", "))
	}
	for _, s := range r.Servers {
		writeLine(w, "server\t%s\tservice %s\t%s\t%s\t%s\tage %s\tactive %d", s.Server, s.Service, s.Address, s.State,
			choose(s.Eligible, "eligible", "not eligible"), s.Age, s.ActiveRequests)
	}
}

func choose[T any](condition bool, yes, no T) T {
	if condition {
		return yes
	}
	return no
}
