package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// maxReplyBytes bounds how much of the body of an answer is read.
const maxReplyBytes = 16 << 20

// List is a list of addresses of entry instances with a current one. It is safe for concurrent use.
type List struct {
	client *http.Client

	mu        sync.Mutex
	addresses []string
	current   int
}

// NewList returns a list of addresses, each an IP address and port. The first one is current.
func NewList(client *http.Client, addresses []string) (*List, error) {
	if len(addresses) == 0 {
		return nil, errors.New("list of entry instances has no addresses")
	}
	return &List{client: client, addresses: addresses}, nil
}

// Len returns the number of addresses.
func (l *List) Len() int { return len(l.addresses) }

// Current returns the current address.
func (l *List) Current() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[l.current]
}

// Next advances the current address to the following one, or from the last to the first, and returns it.
func (l *List) Next() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = (l.current + 1) % len(l.addresses)
	return l.addresses[l.current]
}

// StatusError is the error for an answer with an HTTP status other than 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the body as text.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Do sends a request to address, with body encoded as JSON unless it is nil, and decodes the JSON answer
// into reply unless that is nil. A status other than 2xx gives a StatusError.
func (l *List) Do(ctx context.Context, method, address, path string, body, reply any) error {
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request body for %s: %w", path, err)
		}
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, in)
	if err != nil {
		return fmt.Errorf("build request for %s: %w", path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := l.client.Do(req)
	if err != nil {
		return fmt.Errorf("send %s %s: %w", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("read answer to %s: %w", path, err)
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Status: resp.StatusCode, Body: string(bytes.TrimSpace(data))}
	}
	if reply == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("decode answer to %s: %w", path, err)
	}
	return nil
}

// Post sends a POST request to the current address; see Do.
func (l *List) Post(ctx context.Context, path string, body, reply any) error {
	return l.Do(ctx, http.MethodPost, l.Current(), path, body, reply)
}
