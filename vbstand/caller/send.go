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

// send performs send n of a request and returns what the caller was told.
func (c *Caller) send(ctx context.Context, r request, n int) record.Send {
	address := c.opt.Entries[r.entry]
	s := record.Send{
		Token: r.token, Send: n, Caller: string(c.opt.Name), Class: r.class.String(),
		Phase: c.opt.Phase, Idempotent: r.idempotent, Entry: address, Start: record.Now(),
	}
	if !r.idempotent {
		s.Key = r.token
	}
	resp, err := c.client(r).Do(c.httpRequest(ctx, r, s))
	if err == nil {
		s.Begun, s.Status = true, resp.StatusCode
		s.Request = resp.Header.Get(proto.HeaderRequest)
		ran, _ := strconv.ParseInt(resp.Header.Get(server.HeaderStart), 10, 64)
		s.Ran = record.Micros(ran)
		var answer []byte
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		s.Bytes = len(answer)
		if err == nil {
			s.Told = toldBy(resp.Header.Get(proto.HeaderOutcome))
			err = server.Verify(answer, r.token, r.body)
			s.Whole = err == nil
			if s.Told != record.ToldDone {
				err = errors.New(string(bytes.TrimSpace(answer[:min(len(answer), 200)])))
			}
		}
	}
	s.End = record.Now()
	if s.Told == "" {
		s.Told = toldByError(err)
	}
	if err != nil {
		s.Error = err.Error()
	}
	return s
}

// client returns the client for a request. The transport of net/http resends a request
// without a body by itself when a reused connection breaks, and the journal would not show
// that send; so requests without a body use a connection of their own.
func (c *Caller) client(r request) *http.Client {
	if len(r.body) == 0 {
		return c.fresh
	}
	return c.kept
}

func (c *Caller) httpRequest(ctx context.Context, r request, s record.Send) *http.Request {
	url := "http://" + s.Entry + "/s/" + c.opt.Service + "/call/" + r.token
	// A context that ends with the run would break requests in progress at its end.
	req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), r.method, url, nil)
	if err != nil {
		panic("caller: " + err.Error()) // the address was checked by the command line
	}
	if len(r.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.body)) // without GetBody the transport does not resend
		req.ContentLength = int64(len(r.body))
	}
	req.Header.Set(proto.HeaderCaller, s.Caller)
	req.Header.Set(proto.HeaderClass, s.Class)
	req.Header.Set(proto.HeaderDeadline, strconv.FormatInt(c.opt.Deadline.Milliseconds(), 10))
	req.Header.Set(server.HeaderSend, strconv.Itoa(s.Send))
	if s.Key != "" {
		req.Header.Set(proto.HeaderKey, s.Key)
	}
	return req
}

func toldBy(outcome string) record.Told {
	switch proto.Outcome(outcome) {
	case proto.OutcomeDone, proto.OutcomeNotRun, proto.OutcomeRunning, proto.OutcomeUnknown:
		return record.Told(outcome)
	default:
		return record.ToldNothing
	}
}

func toldByError(err error) record.Told {
	var timeout net.Error
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return record.ToldRefused
	case errors.Is(err, syscall.ECONNREFUSED):
		return record.ToldRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return record.ToldTimeout
	default:
		return record.ToldBroken
	}
}
