package entry

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// drainSize and drainTime bound what is read of a body that nobody wants, so that the
	// caller's connection can carry another request.
	drainSize = 256 << 10
	drainTime = 20 * time.Millisecond
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// body is the body of a caller's request.
type body struct {
	control *http.ResponseController
	from    io.ReadCloser
	whole   io.Reader // without the limit
	used    atomic.Bool
	ended   atomic.Bool
	duplex  bool
	left    bool // a read was made to fail
}

func newBody(w http.ResponseWriter, r *http.Request, limit int64) *body {
	b := &body{control: http.NewResponseController(w)}
	if r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0 {
		b.from, b.whole = http.MaxBytesReader(w, r.Body, limit), r.Body
	}
	return b
}

// open returns the body for an attempt. From then on it is read while the answer is written.
func (b *body) open() io.ReadCloser {
	if b.from == nil {
		return http.NoBody
	}
	if !b.duplex {
		_ = b.control.EnableFullDuplex()
		b.duplex = true
	}
	return b
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.used.Store(true)
	n, err := b.from.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// Close implements io.Closer. The server closes the body itself.
func (b *body) Close() error { return nil }

// intact reports whether the body can be sent from its start.
func (b *body) intact() bool { return b.from == nil || !b.used.Load() }

// abandon makes a blocked read of the body fail.
func (b *body) abandon() {
	b.left = true
	_ = b.control.SetReadDeadline(longAgo)
}

// finish reads the rest of the body or makes it unreadable. A full-duplex server that meets
// the end of the body only after the handler has returned would break the connection.
func (b *body) finish() {
	if !b.duplex || b.ended.Load() {
		return
	}
	if !b.left {
		_ = b.control.SetReadDeadline(time.Now().Add(drainTime))
		if n, err := io.Copy(io.Discard, io.LimitReader(b.whole, drainSize)); err == nil && n < drainSize {
			_ = b.control.SetReadDeadline(time.Time{})
			return
		}
	}
	_ = b.control.SetReadDeadline(longAgo)
	_, _ = io.Copy(io.Discard, b.whole)
}
