package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// Address is where an instance listens for its peers, and where it stands.
type Address struct {
	Instance model.Instance
	Zone     model.Zone
	Region   model.Region
	Peer     string // IP number and port
	HTTP     string // IP number and port
}

// Handler answers one method. A notification's result is dropped.
type Handler func(ctx context.Context, from model.Instance, params json.RawMessage) (any, error)

// RawHandler takes the payload of a raw message. It must not block.
type RawHandler func(from model.Instance, payload []byte)

// TLS gives the configuration of each new connection, so that a renewed key is used without
// a restart. Both results are nil for plain TCP.
type TLS interface {
	Client() *tls.Config
	Server() *tls.Config
}

// Net is this instance's connections to the others. Each instance dials each other one and
// sends its own requests over that connection; answers come back over it.
type Net struct {
	self   Address
	tls    TLS
	pings  Pings
	stamps Stamps
	bytes  *Counter

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu       sync.Mutex
	peers    map[model.Instance]*link
	serving  bool
	handlers map[string]Handler
	raws     map[string]RawHandler
	servers  map[string]RawServer
	listener net.Listener
	accepted map[*jsonrpc2.Conn]struct{}
}

// New returns a Net that is not yet listening. A nil tlsConfig means plain TCP, and without
// stamps messages carry none.
func New(self Address, others []Address, tlsConfig TLS, stamps Stamps) *Net {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Net{
		self:     self,
		peers:    map[model.Instance]*link{},
		tls:      tlsConfig,
		pings:    DefaultPings(),
		stamps:   stamps,
		bytes:    newCounter(),
		ctx:      ctx,
		cancel:   cancel,
		handlers: map[string]Handler{},
		raws:     map[string]RawHandler{},
		servers:  map[string]RawServer{},
		accepted: map[*jsonrpc2.Conn]struct{}{},
	}
	for _, a := range others {
		n.peers[a.Instance] = newLink(n, a)
	}
	return n
}

// Pings says how a silent connection is noticed: after Local or Across, by where the peer is, and
// Timeout.
type Pings struct{ Local, Across, Timeout time.Duration }

// DefaultPings spares bytes across regions, which are paid for.
func DefaultPings() Pings {
	return Pings{Local: pingLocal, Across: pingAcross, Timeout: pingTimeout}
}

// SetPings replaces the default, before Serve.
func (n *Net) SetPings(p Pings) { n.pings = p }

// Add connects to a further peer, or to a known one at its new address.
func (n *Net) Add(a Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.peers[a.Instance]; old != nil {
		if old.to == a {
			return
		}
		old.cancel()
	}
	l := newLink(n, a)
	n.peers[a.Instance] = l
	if n.serving {
		n.wait.Go(l.run)
	}
}

// Remove ends the connection to a peer.
func (n *Net) Remove(name model.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.peers[name]; l != nil {
		l.cancel()
		delete(n.peers, name)
	}
}

// Peers returns the names of all peers.
func (n *Net) Peers() []model.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.peers))
}

func (n *Net) link(name model.Instance) (*link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.peers[name]
	return l, ok
}

// Handle registers the handler of a method, before Serve.
func (n *Net) Handle(method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// HandleRaw registers the handler of raw messages of a method, before Serve.
func (n *Net) HandleRaw(method string, h RawHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.raws[method] = h
}

func (n *Net) rawHandler(method string) (RawHandler, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.raws[method]
	return h, ok
}

// Bytes returns the counter of bytes.
func (n *Net) Bytes() *Counter { return n.bytes }

// Serve accepts connections on l until Close.
func (n *Net) Serve(l net.Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener, n.serving = l, true
	n.wait.Go(func() { n.accept(l) })
	for _, p := range n.peers {
		n.wait.Go(p.run)
	}
}

// Close ends all connections.
func (n *Net) Close() {
	n.cancel()
	n.mu.Lock()
	if n.listener != nil {
		_ = n.listener.Close()
	}
	for c := range n.accepted {
		go func() { _ = c.Close() }()
	}
	n.mu.Unlock()
	n.wait.Wait()
}

// Call sends a request and waits for the answer. An error says whether the request may have
// had an effect: ErrUnavailable if it surely had none, ErrUnknown if that is open.
func (n *Net) Call(ctx context.Context, to model.Instance, method string, params, result any) error {
	p, ok := n.link(to)
	if !ok {
		return fault.Wrap(fault.ErrUnavailable, "call %s: no peer %q is known", method, to)
	}
	return p.call(ctx, method, params, result)
}

// Notify queues a message that has no answer; it is dropped when the queue is full or the
// peer cannot be reached.
func (n *Net) Notify(to model.Instance, method string, params any) {
	if p, ok := n.link(to); ok {
		p.notify(method, params)
	}
}

// NotifyRaw is Notify for a message that is not encoded as JSON.
func (n *Net) NotifyRaw(to model.Instance, method string, payload []byte) {
	if p, ok := n.link(to); ok {
		p.push(message{method: method, raw: payload, isRaw: true}, len(payload))
	}
}

// IsReached reports whether a connection to the peer is up.
func (n *Net) IsReached(to model.Instance) bool {
	p, ok := n.link(to)
	return ok && p.conn() != nil
}

func (n *Net) accept(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			klog.ErrorS(err, "accept a peer connection failed")
			time.Sleep(acceptPause)
			continue
		}
		n.serveConn(raw)
	}
}

// serveConn answers requests of one peer. The peer names itself in its first message.
func (n *Net) serveConn(raw net.Conn) {
	if n.tls != nil {
		raw = tls.Server(raw, n.tls.Server())
	}
	ctx, cancel := context.WithCancel(n.ctx)
	s := &session{net: n, ctx: ctx}
	timed := timedConn{Conn: raw, read: readTimeout, write: writeTimeout, count: s.count}
	s.stream = jsonrpc2.NewBufferedStream(timed, codec{raw: s.take})
	conn := jsonrpc2.NewConn(n.ctx, s.stream, s, append(n.stampOptions(), jsonrpc2.SetLogger(quiet{}))...)
	n.mu.Lock()
	n.accepted[conn] = struct{}{}
	n.mu.Unlock()
	go func() {
		<-conn.DisconnectNotify()
		cancel()
		n.mu.Lock()
		delete(n.accepted, conn)
		n.mu.Unlock()
	}()
}

func (n *Net) handler(method string) (Handler, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.handlers[method]
	return h, ok
}

// crosses reports whether traffic with a peer crosses regions.
func (n *Net) crosses(r model.Region) bool { return r != n.self.Region }

// quiet drops the library's own log lines; failures are logged where they are handled.
type quiet struct{}

// Printf does nothing.
func (quiet) Printf(string, ...any) {}

var errNoHello = fmt.Errorf("the first message of a connection must be %q", methodHello)
