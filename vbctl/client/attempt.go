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

// Request is one call. A call that changes something must be safe to send again: it carries a
// key or a label by which the instances recognise it.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Body   any // encoded as JSON; nil for none
}

func (r Request) changes() bool { return r.Method != http.MethodGet }

// Error says why a call failed and whether it may have taken effect.
type Error struct {
	Server  string
	Status  int           // of the answer; 0 if there was none
	Outcome proto.Outcome // notrun or unknown
	Text    string
	Body    []byte // of the answer

	final bool // another server would answer the same
}

// Error prints the server and the reason.
func (e *Error) Error() string { return e.Server + ": " + e.Text }

func (c *Client) attempt(ctx context.Context, base string, r Request, answer any) *Error {
	body, err := encode(r.Body)
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
		return noAnswer(base, connected, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil || len(text) > maxAnswer {
		return &Error{Server: base, Status: response.StatusCode, Outcome: proto.OutcomeUnknown, Text: "the answer broke off or is too long"}
	}
	if response.StatusCode/100 != 2 {
		return refusal(base, response, text)
	}
	return decode(base, response.StatusCode, text, answer)
}

func encode(body any) (io.Reader, error) {
	if body == nil {
		return nil, nil
	}
	text, err := json.Marshal(body)
	return bytes.NewReader(text), err
}

// noAnswer keeps apart a server that was not reached, so that nothing ran there, and one that
// was reached but gave no answer.
func noAnswer(base string, connected bool, err error) *Error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	if !connected {
		return &Error{Server: base, Outcome: proto.OutcomeNotRun, Text: "not reached: " + err.Error()}
	}
	return &Error{Server: base, Outcome: proto.OutcomeUnknown, Text: "no answer: " + err.Error()}
}

// refusal reads the answer of a server that did not do what was asked. Without the body of a
// refusal, for example from a balancer, it is unknown whether the request ran.
func refusal(base string, response *http.Response, text []byte) *Error {
	e := &Error{Server: base, Status: response.StatusCode, Outcome: proto.OutcomeUnknown, Body: text}
	var p proto.Problem
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
	passing := response.StatusCode == http.StatusTooManyRequests || response.StatusCode >= 500
	e.final = !passing
	return e
}

func decode(base string, status int, text []byte, answer any) *Error {
	switch into := answer.(type) {
	case nil:
		return nil
	case *[]byte:
		*into = text
		return nil
	default:
		// A fresh value: fields that an earlier answer set and this one leaves out must not stay.
		fresh := reflect.New(reflect.TypeOf(into).Elem())
		if err := json.Unmarshal(text, fresh.Interface()); err != nil {
			return &Error{Server: base, Status: status, Outcome: proto.OutcomeUnknown, Text: "the answer cannot be read: " + err.Error()}
		}
		reflect.ValueOf(into).Elem().Set(fresh.Elem())
		return nil
	}
}

// attempts are the failed attempts of one call, in their order.
type attempts []*Error

// combine joins the attempts into one error. An earlier attempt without an answer may have
// taken effect, so a later refusal by another server does not make the call "not run". Only a
// conflict does: its key is looked up before its version, so none of the attempts was accepted.
func (a attempts) combine(r Request) error {
	last := *a[len(a)-1]
	if len(a) > 1 && !last.final {
		lines := make([]string, len(a))
		for i, e := range a {
			lines[i] = e.Error()
		}
		last.Server = "all servers"
		last.Text = strings.Join(lines, "; ")
	}
	unclear := slices.ContainsFunc(a, func(e *Error) bool { return e.Outcome == proto.OutcomeUnknown })
	if r.changes() && unclear && last.Status != http.StatusConflict {
		last.Outcome = proto.OutcomeUnknown
	}
	return &last
}
