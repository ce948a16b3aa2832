package admin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"vanillabridge/core/proto"
	"vanillabridge/vbstand/entry"
	"vanillabridge/vbstand/record"
)

const (
	// tryTime bounds one request, so that a paused instance does not use up the whole time.
	requestTimeout = 5 * time.Second
	// tryPause is the time between two requests.
	retryInterval = 300 * time.Millisecond
)

// Submit sends a configuration until an answer is final or ctx ends: after a lost answer
// again with the same key, through the next instance.
func Submit(ctx context.Context, list *entry.List, key, mark, document string) record.Submit {
	s := record.Submit{Key: key, Mark: mark, Start: record.Now()}
	for {
		s.Entry = list.Current()
		var reply proto.SubmitReply
		err := sendRequest(ctx, list, http.MethodPost, "/v1/config", proto.SubmitRequest{Key: key, Document: document}, &reply)
		s.End = record.Now()
		var status *entry.StatusError
		switch {
		case err == nil:
			s.Status, s.Accepted, s.Version, s.Error = http.StatusOK, true, reply.Version, ""
			return s
		case errors.As(err, &status) && isFinalStatus(status.Status):
			s.Status, s.Refused, s.Error = status.Status, true, status.Body
			return s
		}
		s.Error = err.Error()
		list.Next()
		if !waitRetryInterval(ctx) {
			return s
		}
	}
}

// final reports whether a status says that a resend cannot lead to another answer.
func isFinalStatus(status int) bool {
	return status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}

func sendRequest(ctx context.Context, list *entry.List, method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return list.Do(ctx, method, list.Current(), path, body, reply)
}

// pause waits before the next request and reports whether ctx is still in force.
func waitRetryInterval(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryInterval):
		return true
	}
}
