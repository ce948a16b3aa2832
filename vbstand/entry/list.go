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

// maxReply bounds the body of an answer.
const maxReplyBytes = 16 << 20

// List is a list of entry addresses, of which one is the current one.
type List struct {
	client *http.Client

	mu        sync.Mutex
	addresses []string
	current   int
}

// NewList returns a list over addresses, each an IP number and port.
func NewList(client *http.Client, addresses []string) (*List, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no entry addresses")
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

// Next makes the address after the current one the current one and returns it.
func (l *List) Next() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = (l.current + 1) % len(l.addresses)
	return l.addresses[l.current]
}

// StatusError is an answer with a status other than 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error prints the status and the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Do sends body (if any) as JSON to one address and decodes the answer into reply (if any).
func (l *List) Do(ctx context.Context, method, address, path string, body, reply any) error {
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode body of %s: %w", path, err)
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
		return fmt.Errorf("read answer of %s: %w", path, err)
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Status: resp.StatusCode, Body: string(bytes.TrimSpace(data))}
	}
	if reply == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

// Post sends body to the current address.
func (l *List) Post(ctx context.Context, path string, body, reply any) error {
	return l.Do(ctx, http.MethodPost, l.Current(), path, body, reply)
}
