package entry

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxDrainBytes and drainTimeout bound the reading of the rest of an unneeded body, which
	// is done so that the caller's connection can carry another request.
	maxDrainBytes = 256 << 10
	drainTimeout  = 20 * time.Millisecond
)

// pastDeadline is a read deadline that has passed, which makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// requestBody is the body of a caller's request.
type requestBody struct {
	control      *http.ResponseController
	limited      io.ReadCloser
	unlimited    io.Reader // the same body without the size limit
	readStarted  atomic.Bool
	reachedEOF   atomic.Bool
	fullDuplex   bool
	readsAborted bool // abortReads was called
}

func newRequestBody(w http.ResponseWriter, r *http.Request, limit int64) *requestBody {
	b := &requestBody{control: http.NewResponseController(w)}
	if r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0 {
		b.limited, b.unlimited = http.MaxBytesReader(w, r.Body, limit), r.Body
	}
	return b
}

// open returns the body for an attempt. It enables full duplex, because the body can still be
// read while the response is written.
func (b *requestBody) open() io.ReadCloser {
	if b.limited == nil {
		return http.NoBody
	}
	if !b.fullDuplex {
		_ = b.control.EnableFullDuplex()
		b.fullDuplex = true
	}
	return b
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	n, err := b.limited.Read(p)
	if errors.Is(err, io.EOF) {
		b.reachedEOF.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It does nothing, because the HTTP server closes the body itself.
func (b *requestBody) Close() error { return nil }

// isReplayable reports whether the body can still be sent from its start.
func (b *requestBody) isReplayable() bool { return b.limited == nil || !b.readStarted.Load() }

// abortReads makes blocked and later reads of the body fail.
func (b *requestBody) abortReads() {
	b.readsAborted = true
	_ = b.control.SetReadDeadline(pastDeadline)
}

// drain reads the rest of the body, or makes it unreadable if it is too long or too slow. In
// full-duplex mode the HTTP server would break the connection if it reached the end of the
// body only after the handler has returned.
func (b *requestBody) drain() {
	if !b.fullDuplex || b.reachedEOF.Load() {
		return
	}
	if !b.readsAborted {
		_ = b.control.SetReadDeadline(time.Now().Add(drainTimeout))
		if n, err := io.Copy(io.Discard, io.LimitReader(b.unlimited, maxDrainBytes)); err == nil && n < maxDrainBytes {
			_ = b.control.SetReadDeadline(time.Time{})
			return
		}
	}
	_ = b.control.SetReadDeadline(pastDeadline)
	_, _ = io.Copy(io.Discard, b.unlimited)
}
