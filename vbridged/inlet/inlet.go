package inlet

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/intake"
)

// ErrTurnedAway means that a request was given up before all of it had arrived, because others need the memory or the
// connection. Nothing of it was done.
var ErrTurnedAway error = turnedAwayError{}

// turnedAwayError is a net.Error that is a time-out: after any other error in a header, net/http answers 400, which
// tells a caller that the request is invalid.
type turnedAwayError struct{}

// Error implements error.
func (turnedAwayError) Error() string { return "turned away before the whole request had arrived" }

// Timeout implements net.Error.
func (turnedAwayError) Timeout() bool { return true }

// Temporary implements net.Error.
func (turnedAwayError) Temporary() bool { return false }

const (
	// maxHeaderBytes is the largest header of a request, four times the limit that configurations set.
	maxHeaderBytes = 64 << 10
	// bodyTimeout is how long a client may pause while it sends a body.
	bodyTimeout = 15 * time.Second
	// writeTimeout is how long a client that reads nothing holds up a part of a response.
	writeTimeout = 10 * time.Second
	// logInterval is the shortest time between two log lines about connections that were turned away.
	logInterval = clock.Second
	// connMemory is what an open connection takes: its buffers, stacks and a request of intake.FreeBytes.
	connMemory = 64 << 10
	// requestMemoryDivisor is the inverse of the share of the memory for unfinished requests, which take several times
	// their size while they are decoded.
	requestMemoryDivisor = 16
	// defaultMemory is assumed where no memory limit is set.
	defaultMemory = 256 << 20
)

// LimitsFor returns the limits of a listener of a process that may use this much memory, in bytes, where this many
// connections may be open. A memory of 0 means that no limit is known.
func LimitsFor(memory int64, conns int) intake.Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	return intake.Limits{Conns: max(1, min(conns, int(memory/connMemory))), Bytes: memory / requestMemoryDivisor}
}

// Inlet keeps the connections of one listener within limits.
type Inlet struct {
	name    string
	clock   clock.Source
	metrics listenerMetrics

	mu         sync.Mutex
	gate       *intake.Gate
	conns      map[intake.ConnID]*conn
	lastID     intake.ConnID
	turnedAway int // since loggedAt
	loggedAt   clock.Millis
}

// New returns an inlet; its name appears in logs and metrics.
func New(name string, l intake.Limits, c clock.Source, m *Metrics) *Inlet {
	return &Inlet{name: name, clock: c, metrics: m.of(name), gate: intake.NewGate(l), conns: map[intake.ConnID]*conn{}}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Configure sets up a server for the connections of Listener. It keeps the server's ConnState hook.
func (x *Inlet) Configure(s *http.Server) {
	s.MaxHeaderBytes = maxHeaderBytes
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok && state == http.StateIdle {
			x.finish(own)
		}
		if next != nil {
			next(c, state)
		}
	}
	s.Handler = x.wrap(s.Handler)
}

// wrap has requests counted as whole once their bodies are read.
func (x *Inlet) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			x.serve(c)
		} else {
			r.Body = &body{ReadCloser: r.Body, conn: c}
		}
		h.ServeHTTP(w, r)
	})
}

// Listener returns a listener whose connections the inlet keeps within its limits.
func (x *Inlet) Listener(l net.Listener) net.Listener { return &listener{l, x} }

type listener struct {
	net.Listener
	inlet *Inlet
}

const (
	// acceptWait is how long new connections wait for room after there was none: calls that come at the same moment are
	// soon over, clients that stay are not.
	acceptWait = 250 * clock.Millisecond
	// acceptRetryInterval is the pause between two attempts.
	acceptRetryInterval = 5 * time.Millisecond
)

// refusal is what a client gets for whose connection there is no room. Its request is not read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Accept implements net.Listener. It refuses connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	x := l.inlet
	var refuseAt clock.Millis // 0 while there is room
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := x.open(raw)
		if c == nil && refuseAt == 0 {
			refuseAt = x.clock.Now() + acceptWait
		}
		for c == nil && x.clock.Now() < refuseAt {
			time.Sleep(acceptRetryInterval)
			c = x.open(raw)
		}
		if c != nil {
			return c, nil
		}
		x.noteRefused()
		_, _ = io.WriteString(raw, refusal) // it fits in the empty buffer of a new connection; a client that has left needs none
		_ = raw.Close()
	}
}

func (x *Inlet) open(raw net.Conn) *conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastID++
	c := &conn{Conn: raw, inlet: x, id: x.lastID}
	evicted, ok := x.gate.Open(x.clock.Now(), c.id)
	if evicted != 0 {
		x.turnAway(evicted, causeConns)
	}
	if !ok {
		return nil
	}
	x.conns[c.id] = c
	x.showLoad()
	return c
}

func (x *Inlet) noteRefused() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.note(causeConns)
}

// receive records bytes that a client has sent, and reports whether its request may go on.
func (x *Inlet) receive(c *conn, n int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	evicted, ok := x.gate.Receive(x.clock.Now(), c.id, n)
	for _, id := range evicted {
		x.turnAway(id, causeMemory)
	}
	if !ok && x.conns[c.id] != nil {
		x.turnAway(c.id, causeMemory)
	}
	x.showLoad()
	return ok
}

func (x *Inlet) serve(c *conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate.Serve(c.id)
}

func (x *Inlet) finish(c *conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate.Finish(x.clock.Now(), c.id)
	x.showLoad()
}

func (x *Inlet) close(c *conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate.Close(c.id)
	delete(x.conns, c.id)
	x.showLoad()
}

// showLoad sets the gauges. The caller holds mu.
func (x *Inlet) showLoad() {
	x.metrics.conns.Set(float64(x.gate.Conns()))
	x.metrics.bytes.Set(float64(x.gate.Bytes()))
}

// turnAway ends the reads of a connection that the gate has closed; its server then closes it. The caller holds mu.
func (x *Inlet) turnAway(id intake.ConnID, cause string) {
	c := x.conns[id]
	if c == nil {
		return
	}
	delete(x.conns, id)
	c.turnedAway.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	x.note(cause)
}

// note counts and logs a connection that was turned away. The caller holds mu.
func (x *Inlet) note(cause string) {
	x.metrics.turnedAway.WithLabelValues(cause).Inc()
	x.turnedAway++
	now := x.clock.Now()
	if now-x.loggedAt < logInterval {
		return
	}
	klog.InfoS("connections turned away", "listener", x.name, "cause", cause, "number", x.turnedAway, "open", x.gate.Conns(), "bytes", x.gate.Bytes())
	x.turnedAway, x.loggedAt = 0, now
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	inlet      *Inlet
	id         intake.ConnID
	turnedAway atomic.Bool
	closeOnce  sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.turnedAway.Load() {
		return 0, ErrTurnedAway
	}
	n, err := c.Conn.Read(p)
	if c.turnedAway.Load() || (n > 0 && !c.inlet.receive(c, n)) {
		return 0, ErrTurnedAway
	}
	return n, err
}

// Write implements net.Conn. The client has writeTimeout to make room for it.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.inlet.close(c) })
	return c.Conn.Close()
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader. The client may pause for bodyTimeout at most.
func (b *body) Read(p []byte) (int, error) {
	_ = b.conn.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only if the connection is closed, as the read then does
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.conn.SetReadDeadline(time.Time{})
		b.conn.inlet.serve(b.conn)
	}
	return n, err
}
