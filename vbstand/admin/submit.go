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
	// requestTimeout bounds one request, so that a paused instance does not use up the time limit of
	// the whole operation.
	requestTimeout = 5 * time.Second
	// retryInterval is the time between a request and the next one.
	retryInterval = 300 * time.Millisecond
)

// SubmitConfig sends a configuration until an instance accepts it or refuses it for good, or until
// ctx ends. After a lost answer it resends the configuration with the same idempotency key through the
// next instance.
func SubmitConfig(ctx context.Context, list *entry.List, key, mark, document string) record.Submission {
	s := record.Submission{Key: key, Mark: mark, Start: record.Now()}
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

// isFinalStatus reports whether a resend after this HTTP status would get the same answer: true for
// client errors except 408 and 429.
func isFinalStatus(status int) bool {
	return status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}

// sendRequest sends one request to the current entry instance, bounded by requestTimeout.
func sendRequest(ctx context.Context, list *entry.List, method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return list.Do(ctx, method, list.Current(), path, body, reply)
}

// waitRetryInterval waits until the next request is due and reports false if ctx ends first.
func waitRetryInterval(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryInterval):
		return true
	}
}
