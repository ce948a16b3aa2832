package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"

	"vanillabridge/core/proto"
	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/server"
)

// sendOnce performs send n of a request and returns its record with the outcome.
func (c *Caller) sendOnce(ctx context.Context, r request, n int) record.Send {
	address := c.opt.Entries[r.entryIndex]
	s := record.Send{
		Token: r.token, Number: n, Caller: string(c.opt.Name), Class: r.class.String(),
		Phase: c.opt.Phase, Idempotent: r.idempotent, Entry: address, Start: record.Now(),
	}
	if !r.idempotent {
		s.Key = r.token
	}
	resp, err := c.clientFor(r).Do(c.newHTTPRequest(ctx, r, s))
	if err == nil {
		s.HeadersReceived, s.Status = true, resp.StatusCode
		s.Request = resp.Header.Get(proto.HeaderRequest)
		runStart, _ := strconv.ParseInt(resp.Header.Get(server.HeaderRunStart), 10, 64)
		s.RunStarted = record.Micros(runStart)
		var answer []byte
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		s.Bytes = len(answer)
		if err == nil {
			s.Outcome = parseOutcome(resp.Header.Get(proto.HeaderOutcome))
			err = server.VerifyAnswer(answer, r.token, r.body)
			s.BodyValid = err == nil
			if s.Outcome != record.OutcomeDone {
				err = errors.New(string(bytes.TrimSpace(answer[:min(len(answer), 200)])))
			}
		}
	}
	s.End = record.Now()
	if s.Outcome == "" {
		s.Outcome = classifyError(err)
	}
	if err != nil {
		s.Error = err.Error()
	}
	return s
}

// clientFor returns the HTTP client for a request. When a reused connection breaks, the transport of
// net/http resends a request without a body by itself, and the journal would lack that send.
// Therefore each request without a body gets a connection of its own.
func (c *Caller) clientFor(r request) *http.Client {
	if len(r.body) == 0 {
		return c.oneShotClient
	}
	return c.keepAliveClient
}

func (c *Caller) newHTTPRequest(ctx context.Context, r request, s record.Send) *http.Request {
	url := "http://" + s.Entry + "/s/" + c.opt.Service + "/call/" + r.token
	// Requests in progress at the end of the run are completed, so they must not be cancelled with ctx.
	req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), r.method, url, nil)
	if err != nil {
		panic("caller: " + err.Error()) // only an entry address or service name that is not valid in a URL leads here
	}
	if len(r.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.body)) // without GetBody the transport does not resend
		req.ContentLength = int64(len(r.body))
	}
	req.Header.Set(proto.HeaderCaller, s.Caller)
	req.Header.Set(proto.HeaderClass, s.Class)
	req.Header.Set(proto.HeaderDeadline, strconv.FormatInt(c.opt.Deadline.Milliseconds(), 10))
	req.Header.Set(server.HeaderSendNumber, strconv.Itoa(s.Number))
	if s.Key != "" {
		req.Header.Set(proto.HeaderKey, s.Key)
	}
	return req
}

// parseOutcome converts the value of the outcome header.
func parseOutcome(outcome string) record.Outcome {
	switch proto.Outcome(outcome) {
	case proto.OutcomeDone, proto.OutcomeNotRun, proto.OutcomeRunning, proto.OutcomeUnknown:
		return record.Outcome(outcome)
	default:
		return record.OutcomeMissing
	}
}

// classifyError converts an error of a send without a complete answer. A failed dial counts as refused,
// since the request cannot have been sent.
func classifyError(err error) record.Outcome {
	var netErr net.Error
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return record.OutcomeConnRefused
	case errors.Is(err, syscall.ECONNREFUSED):
		return record.OutcomeConnRefused
	case errors.As(err, &netErr) && netErr.Timeout():
		return record.OutcomeTimeout
	default:
		return record.OutcomeConnBroken
	}
}
