package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"vanillabridge/core/proto"
)

// Request is a request to the entry instances. A request that changes state must be idempotent: it
// carries a key or a run label by which the instances detect a resend.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Body   any // encoded as JSON; nil for no body
}

func (r Request) isMutating() bool { return r.Method != http.MethodGet }

// Error describes why a request failed and whether it may have taken effect.
type Error struct {
	Server  string
	Status  int           // HTTP status of the response; 0 if there was none
	Outcome proto.Outcome // notrun or unknown
	Text    string
	Body    []byte // body of the response

	final bool // another server would give the same response
}

// Error returns the server and the message.
func (e *Error) Error() string { return e.Server + ": " + e.Text }

func (c *Client) attempt(ctx context.Context, base string, r Request, answer any) *Error {
	body, err := encodeBody(r.Body)
	if err != nil {
		return &Error{Server: base, Outcome: proto.OutcomeNotRun, Text: "encode the request: " + err.Error(), final: true}
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	target := base + r.Path
	if len(r.Query) > 0 {
		target += "?" + r.Query.Encode()
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, target, body)
	if err != nil {
		return &Error{Server: base, Outcome: proto.OutcomeNotRun, Text: err.Error(), final: true}
	}
	if r.Body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return transportError(base, connected, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || len(text) > maxResponseBytes {
		return &Error{Server: base, Status: response.StatusCode, Outcome: proto.OutcomeUnknown, Text: "response is truncated or exceeds the size limit"}
	}
	if response.StatusCode/100 != 2 {
		return parseErrorResponse(base, response, text)
	}
	return decodeResponse(base, response.StatusCode, text, answer)
}

func encodeBody(body any) (io.Reader, error) {
	if body == nil {
		return nil, nil
	}
	text, err := json.Marshal(body)
	return bytes.NewReader(text), err
}

// transportError returns the error of an attempt without a response. If no connection was
// established, the request did not run; otherwise its outcome is unknown.
func transportError(base string, connected bool, err error) *Error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	if !connected {
		return &Error{Server: base, Outcome: proto.OutcomeNotRun, Text: "not reached: " + err.Error()}
	}
	return &Error{Server: base, Outcome: proto.OutcomeUnknown, Text: "no answer: " + err.Error()}
}

// parseErrorResponse converts an error response. If the body is not a proto.ErrorReply, for
// example because a load balancer answered, it is unknown whether the request ran.
func parseErrorResponse(base string, response *http.Response, text []byte) *Error {
	e := &Error{Server: base, Status: response.StatusCode, Outcome: proto.OutcomeUnknown, Body: text}
	var p proto.ErrorReply
	if json.Unmarshal(text, &p) != nil || p.Error == "" {
		e.Text = "answered " + response.Status + " without a reason"
		e.final = response.StatusCode < 500
		return e
	}
	e.Text = p.Error
	if p.Field != "" {
		e.Text = p.Field + ": " + p.Error
	}
	if p.Outcome == proto.OutcomeNotRun {
		e.Outcome = proto.OutcomeNotRun
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		e.Text += fmt.Sprintf(" (try again after %d s)", seconds)
	}
	transient := response.StatusCode == http.StatusTooManyRequests || response.StatusCode >= 500
	e.final = !transient
	return e
}

func decodeResponse(base string, status int, text []byte, answer any) *Error {
	switch into := answer.(type) {
	case nil:
		return nil
	case *[]byte:
		*into = text
		return nil
	default:
		// Decode into a new value, so that fields missing from this response do not keep the values of
		// an earlier one.
		fresh := reflect.New(reflect.TypeOf(into).Elem())
		if err := json.Unmarshal(text, fresh.Interface()); err != nil {
			return &Error{Server: base, Status: status, Outcome: proto.OutcomeUnknown, Text: "decode the response: " + err.Error()}
		}
		reflect.ValueOf(into).Elem().Set(fresh.Elem())
		return nil
	}
}

// failedAttempts holds the errors of the attempts of one request, in order.
type failedAttempts []*Error

// joinErrors combines the errors of all attempts. An earlier attempt without a response may have
// taken effect, so the outcome stays unknown even if another server refuses a later attempt. The
// exception is a conflict: servers look up the idempotency key before the version, so a conflict
// means that none of the attempts was accepted.
func (a failedAttempts) joinErrors(r Request) error {
	last := *a[len(a)-1]
	if len(a) > 1 && !last.final {
		lines := make([]string, len(a))
		for i, e := range a {
			lines[i] = e.Error()
		}
		last.Server = "all servers"
		last.Text = strings.Join(lines, "; ")
	}
	outcomeUnknown := slices.ContainsFunc(a, func(e *Error) bool { return e.Outcome == proto.OutcomeUnknown })
	if r.isMutating() && outcomeUnknown && last.Status != http.StatusConflict {
		last.Outcome = proto.OutcomeUnknown
	}
	return &last
}
