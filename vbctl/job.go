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

// maxConsecutivePollFailures bounds the consecutive failed polls while waiting for a job. An
// election or the restart of an instance makes a few polls fail.
const maxConsecutivePollFailures = 30

const jobText = `Job prints the state of the job NAME/LABEL. With --wait it polls until all
tasks have ended, and fails unless all of them are done.`

const jobExamples = `  vbctl job report/2026-12-05 --server 10.0.1.1:8080
  vbctl job report/2026-12-05 --wait --server 10.0.1.1:8080,10.0.2.1:8080`

func (a *app) jobCommand() *cobra.Command {
	var wait bool
	var interval time.Duration
	command := &cobra.Command{
		Use: "job ID", Short: "Print the state of a job, or wait until it ends",
		Long: jobText, Example: jobExamples, Args: cobra.ExactArgs(1),
		RunE: a.withErrorStatus(func(ctx context.Context, args []string) error { return a.showJob(ctx, args[0], wait, interval) }),
	}
	command.Flags().BoolVar(&wait, "wait", false, "wait until all tasks have ended")
	command.Flags().DurationVar(&interval, "interval", time.Second, "poll interval of --wait")
	return command
}

func (a *app) showJob(ctx context.Context, id string, wait bool, interval time.Duration) error {
	path, err := jobPath(id)
	if err != nil {
		return err
	}
	c, err := a.newClient()
	if err != nil {
		return err
	}
	var reply proto.JobReply
	request := client.Request{Method: http.MethodGet, Path: path}
	for failures := 0; ; {
		err := c.Do(ctx, request, &reply)
		switch {
		case err == nil:
			failures = 0
		case !wait || failures == maxConsecutivePollFailures || !isTransient(err):
			return err
		default:
			failures++
		}
		if err == nil && (!wait || allTasksEnded(reply.Counts)) {
			break
		}
		if err := a.sleep(ctx, interval); err != nil {
			return err
		}
	}
	if err := a.writeAnswer(reply, func(w io.Writer) { printJob(w, reply) }); err != nil {
		return err
	}
	if n := reply.Counts; wait && n.Failed+n.Cancelled+n.Impossible > 0 {
		return failureErrorf("job %s: %d tasks failed, %d cancelled, %d impossible", reply.Job, n.Failed, n.Cancelled, n.Impossible)
	}
	return nil
}

// jobPath returns the URL path of a job. Names and labels contain no slash and no character that
// needs escaping in a path.
func jobPath(id string) (string, error) {
	name, run := model.JobID(id).Split()
	if name == "" || run == "" || strings.ContainsAny(id, "?#% ") || strings.Contains(run, "/") {
		return "", usageErrorf("invalid job identifier %q, want NAME/LABEL", id)
	}
	return "/v1/jobs/" + id, nil
}

// isTransient reports whether a retry may succeed.
func isTransient(err error) bool {
	var e *client.Error
	return errors.As(err, &e) && (e.Status == 0 || e.Status == http.StatusTooManyRequests || e.Status >= 500)
}

func allTasksEnded(n proto.Counts) bool { return n.Waiting+n.Assigned+n.Running == 0 }

func printJob(w io.Writer, r proto.JobReply) {
	writeLine(w, "job\t%s\tzone %s", r.Job, r.Zone)
	if r.Reason != "" {
		writeLine(w, "reason\t%s", r.Reason)
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
			writeLine(w, "%s\t%d", c.phase, c.n)
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
		writeLine(w, "%s", text)
	}
}
