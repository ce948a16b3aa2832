package chaos_test

import (
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to one address. While partitioned, it accepts connections but
// forwards nothing, like a network that drops all packets without closing connections.
type relay struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	cond        *sync.Cond
	partitioned bool
	closed      bool
	conns       []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target}
	r.cond = sync.NewCond(&r.mu)
	t.Cleanup(r.close)
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) setPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = partitioned
	r.cond.Broadcast()
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.cond.Broadcast()
	_ = r.listener.Close()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// waitHealed blocks while the relay is partitioned and reports whether it is still open.
func (r *relay) waitHealed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.partitioned && !r.closed {
		r.cond.Wait()
	}
	return !r.closed
}

// track registers a connection to be closed with the relay, and reports whether the relay is still
// open.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
	return !r.closed
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(in)
	}
}

func (r *relay) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	if !r.track(in) || !r.waitHealed() {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	if !r.track(out) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { r.pipe(out, in) })
	group.Go(func() { r.pipe(in, out) })
	group.Wait()
}

// pipe copies until either side closes. Data read before a partition is delivered after it.
func (r *relay) pipe(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !r.waitHealed() {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
