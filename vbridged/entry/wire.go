package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/member"
)

const connBufferSize = 4 << 10

// backendConn is a connection to a backend server. It carries one exchange at a time. The
// package writes requests itself because http.Transport retries some requests by itself, among
// them those with an Idempotency-Key.
type backendConn struct {
	net.Conn
	server    member.Key
	reader    *bufio.Reader
	writer    *bufio.Writer
	limiter   *headerLimitReader
	idleSince clock.Millis // time at which it became idle
}

func newBackendConn(c net.Conn, k member.Key) *backendConn {
	limiter := &headerLimitReader{src: c}
	conn := &backendConn{Conn: c, server: k, limiter: limiter, reader: bufio.NewReaderSize(limiter, connBufferSize)}
	conn.writer = bufio.NewWriterSize(c, connBufferSize)
	return conn
}

// headerLimitReader bounds the bytes that are read while a header is parsed.
type headerLimitReader struct {
	src       io.Reader
	remaining int
	limiting  bool
}

func (r *headerLimitReader) Read(p []byte) (int, error) {
	if !r.limiting {
		return r.src.Read(p)
	}
	if r.remaining <= 0 {
		return 0, fault.Wrap(fault.ErrTooLarge, "read response header")
	}
	n, err := r.src.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// isReusable reports whether an idle connection is open and has no unread data. Data that
// arrived without a request would be taken for the response to the next request.
func (conn *backendConn) isReusable() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	sc, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// guardedWriter calls checkSend before it writes the first byte of a request.
type guardedWriter struct {
	dst       io.Writer
	checkSend func() error
	maybeSent atomic.Bool // a byte may have been sent
}

func (g *guardedWriter) Write(p []byte) (int, error) {
	if !g.maybeSent.Load() {
		if err := g.checkSend(); err != nil {
			return 0, err
		}
		g.maybeSent.Store(true)
	}
	return g.dst.Write(p)
}

// exchange is one request and its response on a connection.
type exchange struct {
	conn           *backendConn
	guard          *guardedWriter
	request        *http.Request
	writeDone      chan error // result of writing the request, for requests with a body
	requestWritten bool       // the whole request was written
}

func newExchange(conn *backendConn, r *http.Request, checkSend func() error) *exchange {
	x := &exchange{conn: conn, request: r, guard: &guardedWriter{dst: conn.Conn, checkSend: checkSend}}
	conn.writer.Reset(x.guard)
	return x
}

// startWrite writes the request. A request with a body is written in the background, while the
// response is being read.
func (x *exchange) startWrite() error {
	if x.request.Body == nil || x.request.Body == http.NoBody {
		err := x.writeRequest()
		x.requestWritten = err == nil
		return err
	}
	// The check is made here rather than by the first write, so that no byte of the body is
	// read before it.
	if err := x.guard.checkSend(); err != nil {
		return err
	}
	x.guard.maybeSent.Store(true)
	x.writeDone = make(chan error, 1)
	go func() {
		err := x.writeRequest()
		if err != nil {
			_ = x.conn.Close() // ends the wait for a response
		}
		x.writeDone <- err
	}()
	return nil
}

func (x *exchange) writeRequest() error {
	if err := x.request.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// readHeader reads the header of the final response and skips informational ones.
func (x *exchange) readHeader(limit int) (*http.Response, error) {
	x.conn.limiter.limiting = true
	defer func() { x.conn.limiter.limiting = false }()
	x.conn.limiter.remaining = limit
	for {
		resp, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fault.Wrap(fault.ErrInvalid, "backend server switched protocols")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// waitForWrite waits until the request has been written. Unless it was written completely, the
// caller must first make a blocked read of the body fail.
func (x *exchange) waitForWrite() {
	if x.writeDone == nil {
		return
	}
	x.requestWritten = <-x.writeDone == nil
	x.writeDone = nil
}

// hasDefiniteEnd reports whether the end of a response body can be distinguished from a lost
// connection.
func hasDefiniteEnd(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead ||
		r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
}

func dial(ctx context.Context, d Dialer, k member.Key, address string) (*backendConn, error) {
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, "connect to backend server %s at %s", k.Name, address)
	}
	return newBackendConn(c, k), nil
}
