package admin

import (
	"context"
	"net/http"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbstand/entry"
	"vanillabridge/vbstand/record"
)

// AwaitJob polls a job until all its tasks have ended, or all are running if it is a service, or
// until ctx ends. The result is marked final in each case: a job that has not finished by then is late.
func AwaitJob(ctx context.Context, list *entry.List, job model.JobID, acceptedAt record.Micros) record.Job {
	out := record.Job{Job: job, AcceptedAt: acceptedAt, Final: true}
	for {
		out.Entry, out.Time = list.Current(), record.Now()
		var reply proto.JobReply
		err := sendRequest(ctx, list, http.MethodGet, "/v1/jobs/"+string(job), nil, &reply)
		switch {
		case err != nil:
			out.Reason = err.Error()
			list.Next()
		default:
			out.Counts, out.Reason = reply.Counts, reply.Reason
			setWorkDetails(&out, reply.Work.Decode())
			if isFinished(out) {
				return out
			}
		}
		if !waitRetryInterval(ctx) {
			return out
		}
	}
}

func setWorkDetails(out *record.Job, work model.Work) {
	switch work.(type) {
	case model.Service:
		out.Kind = "service"
	case model.Batch:
		out.Kind = "batch"
	case model.Gang:
		out.Kind = "gang"
	default:
		return
	}
	out.Class, out.Count = work.Common().Urgency.String(), work.Common().Count
}

// isFinished reports whether all tasks of the job have ended or, for a service, all are running.
func isFinished(job record.Job) bool {
	c := job.Counts
	if job.Kind == "service" {
		return c.Running == job.Count
	}
	return job.Count > 0 && c.Done+c.Failed+c.Cancelled+c.Impossible == job.Count
}
