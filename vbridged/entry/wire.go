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

const wireBuffer = 4 << 10

// wire is a connection to a backend server. It carries one exchange at a time. The package
// writes requests itself because http.Transport repeats some requests unasked, among them
// those with an Idempotency-Key.
type wire struct {
	net.Conn
	server member.Key
	reader *bufio.Reader
	writer *bufio.Writer
	source *capped
	idle   clock.Millis // instant at which it became unused
}

func newWire(c net.Conn, k member.Key) *wire {
	src := &capped{from: c}
	w := &wire{Conn: c, server: k, source: src, reader: bufio.NewReaderSize(src, wireBuffer)}
	w.writer = bufio.NewWriterSize(c, wireBuffer)
	return w
}

// capped bounds the bytes of a header.
type capped struct {
	from io.Reader
	left int
	on   bool
}

func (c *capped) Read(p []byte) (int, error) {
	if !c.on {
		return c.from.Read(p)
	}
	if c.left <= 0 {
		return 0, fault.Wrap(fault.ErrTooLarge, "read header of answer")
	}
	n, err := c.from.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// quiet reports whether an unused connection is open and has nothing to read. Bytes that
// come without a request would be taken for the answer of the next one.
func (w *wire) quiet() bool {
	if w.reader.Buffered() > 0 {
		return false
	}
	sc, ok := w.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// gate asks for permission before the first byte of a request.
type gate struct {
	to    io.Writer
	allow func() error
	open  atomic.Bool // a byte may have been sent
}

func (g *gate) Write(p []byte) (int, error) {
	if !g.open.Load() {
		if err := g.allow(); err != nil {
			return 0, err
		}
		g.open.Store(true)
	}
	return g.to.Write(p)
}

// exchange is one request on a wire.
type exchange struct {
	wire    *wire
	gate    *gate
	request *http.Request
	written chan error // result of writing the request, for requests with a body
	wrote   bool       // the request was written whole
}

func newExchange(w *wire, r *http.Request, allow func() error) *exchange {
	x := &exchange{wire: w, request: r, gate: &gate{to: w.Conn, allow: allow}}
	w.writer.Reset(x.gate)
	return x
}

// start writes the request: a request with a body while the answer is being read.
func (x *exchange) start() error {
	if x.request.Body == nil || x.request.Body == http.NoBody {
		err := x.write()
		x.wrote = err == nil
		return err
	}
	// The first write asks the gate here, before a byte of the body is read.
	if err := x.gate.allow(); err != nil {
		return err
	}
	x.gate.open.Store(true)
	x.written = make(chan error, 1)
	go func() {
		err := x.write()
		if err != nil {
			_ = x.wire.Close() // ends the wait for an answer
		}
		x.written <- err
	}()
	return nil
}

func (x *exchange) write() error {
	if err := x.request.Write(x.wire.writer); err != nil {
		return err
	}
	return x.wire.writer.Flush()
}

// header reads the header of the final answer.
func (x *exchange) header(limit int) (*http.Response, error) {
	x.wire.source.on = true
	defer func() { x.wire.source.on = false }()
	x.wire.source.left = limit
	for {
		resp, err := http.ReadResponse(x.wire.reader, x.request)
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

// settle waits for the writer of the body. The caller makes a blocked read of the body fail
// first, unless the request was written whole.
func (x *exchange) settle() {
	if x.written == nil {
		return
	}
	x.wrote = <-x.written == nil
	x.written = nil
}

// framed reports whether the end of an answer can be told from a lost connection.
func framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead ||
		r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
}

func dial(ctx context.Context, d Dialer, k member.Key, address string) (*wire, error) {
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, "connect to backend server %s at %s", k.Name, address)
	}
	return newWire(c, k), nil
}
