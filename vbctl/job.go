package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbctl/client"
)

// maxMissed bounds the polls in a row that may fail while a job is awaited. An election or the
// restart of an instance takes a few of them.
const maxMissed = 30

const jobText = `Job prints the state of a job, which is named NAME/LABEL. With --wait it polls
until all tasks have ended, and fails if any of them did not end as done.`

const jobExamples = `  vbctl job report/2026-12-05 --server 10.0.1.1:8080
  vbctl job report/2026-12-05 --wait --server 10.0.1.1:8080,10.0.2.1:8080`

func (a *app) jobCommand() *cobra.Command {
	var wait bool
	var interval time.Duration
	command := &cobra.Command{
		Use: "job ID", Short: "Print the state of a job, or wait for its end",
		Long: jobText, Example: jobExamples, Args: cobra.ExactArgs(1),
		RunE: a.action(func(ctx context.Context, args []string) error { return a.job(ctx, args[0], wait, interval) }),
	}
	command.Flags().BoolVar(&wait, "wait", false, "wait until all tasks have ended")
	command.Flags().DurationVar(&interval, "interval", time.Second, "time between two polls with --wait")
	return command
}

func (a *app) job(ctx context.Context, id string, wait bool, interval time.Duration) error {
	path, err := jobPath(id)
	if err != nil {
		return err
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	var reply proto.JobReply
	request := client.Request{Method: http.MethodGet, Path: path}
	for missed := 0; ; {
		err := c.Do(ctx, request, &reply)
		switch {
		case err == nil:
			missed = 0
		case !wait || missed == maxMissed || !passing(err):
			return err
		default:
			missed++
		}
		if err == nil && (!wait || ended(reply.Counts)) {
			break
		}
		if err := a.sleep(ctx, interval); err != nil {
			return err
		}
	}
	if err := a.print(reply, func(w io.Writer) { printJob(w, reply) }); err != nil {
		return err
	}
	if n := reply.Counts; wait && n.Failed+n.Cancelled+n.Impossible > 0 {
		return failed("job %s: %d tasks failed, %d cancelled, %d impossible", reply.Job, n.Failed, n.Cancelled, n.Impossible)
	}
	return nil
}

// jobPath returns the path of a job. Names and labels hold no slash and no character that a
// path would quote, so the identifier stands in it as it is.
func jobPath(id string) (string, error) {
	name, run := model.JobID(id).Split()
	if name == "" || run == "" || strings.ContainsAny(id, "?#% ") || strings.Contains(run, "/") {
		return "", usage("%q is not a job, want NAME/LABEL", id)
	}
	return "/v1/jobs/" + id, nil
}

// passing reports whether a later try may succeed.
func passing(err error) bool {
	var e *client.Error
	return errors.As(err, &e) && (e.Status == 0 || e.Status == http.StatusTooManyRequests || e.Status >= 500)
}

func ended(n proto.Counts) bool { return n.Waiting+n.Assigned+n.Running == 0 }

func printJob(w io.Writer, r proto.JobReply) {
	line(w, "job\t%s\tzone %s", r.Job, r.Zone)
	if r.Reason != "" {
		line(w, "reason\t%s", r.Reason)
	}
	n := r.Counts
	for _, c := range []struct {
		phase proto.TaskPhase
		n     int
	}{
		{proto.TaskWaiting, n.Waiting},
		{proto.TaskAssigned, n.Assigned},
		{proto.TaskRunning, n.Running},
		{proto.TaskDone, n.Done},
		{proto.TaskFailed, n.Failed},
		{proto.TaskCancelled, n.Cancelled},
		{proto.TaskImpossible, n.Impossible},
	} {
		if c.n > 0 {
			line(w, "%s\t%d", c.phase, c.n)
		}
	}
	for _, t := range r.Tasks {
		text := fmt.Sprintf("task\t%d\t%s\tattempt %d", t.Index, t.Phase, t.Attempt)
		if t.Worker != "" {
			text += "\tworker " + string(t.Worker)
		}
		if t.Reason != "" {
			text += "\t" + t.Reason
		}
		line(w, "%s", text)
	}
}
