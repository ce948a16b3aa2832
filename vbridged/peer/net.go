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

// Address holds the location of an instance and the addresses on which it listens.
type Address struct {
	Instance model.Instance
	Zone     model.Zone
	Region   model.Region
	Peer     string // IP address and port for the other instances
	HTTP     string // IP address and port of the HTTP server
}

// Handler handles the requests and notifications of one method. The result of a notification is
// discarded.
type Handler func(ctx context.Context, from model.Instance, params json.RawMessage) (any, error)

// RawHandler handles a raw message that has no reply. It must not block, because it runs in the
// goroutine that reads the connection.
type RawHandler func(from model.Instance, payload []byte)

// TLSProvider returns the TLS configuration of each new connection, so that a renewed key takes effect
// without a restart.
type TLSProvider interface {
	ClientConfig() *tls.Config
	ServerConfig() *tls.Config
}

// Transport holds the connections of this instance to the others. Each instance dials every other
// one and sends its requests over that connection; replies return over the same connection.
type Transport struct {
	self    Address
	tls     TLSProvider
	pings   PingConfig
	clock   HybridClock
	traffic *TrafficCounter

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu              sync.Mutex
	links           map[model.Instance]*link
	serving         bool
	handlers        map[string]Handler
	rawHandlers     map[string]RawHandler
	rawCallHandlers map[string]RawCallHandler
	listener        net.Listener
	acceptedConns   map[*jsonrpc2.Conn]struct{}
}

// New returns a Transport that is not yet listening. If tlsConfig is nil, connections use plain TCP; if
// clock is nil, messages carry no timestamps.
func New(self Address, others []Address, tlsConfig TLSProvider, clock HybridClock) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Transport{
		self:            self,
		links:           map[model.Instance]*link{},
		tls:             tlsConfig,
		pings:           DefaultPingConfig(),
		clock:           clock,
		traffic:         newTrafficCounter(),
		ctx:             ctx,
		cancel:          cancel,
		handlers:        map[string]Handler{},
		rawHandlers:     map[string]RawHandler{},
		rawCallHandlers: map[string]RawCallHandler{},
		acceptedConns:   map[*jsonrpc2.Conn]struct{}{},
	}
	for _, a := range others {
		n.links[a.Instance] = newLink(n, a)
	}
	return n
}

// PingConfig configures the detection of lost connections: SameRegionInterval is the ping interval to
// peers in the same region, CrossRegionInterval to those in other regions, Timeout the time to wait
// for each reply.
type PingConfig struct{ SameRegionInterval, CrossRegionInterval, Timeout time.Duration }

// DefaultPingConfig returns a longer interval across regions, because that traffic is billed.
func DefaultPingConfig() PingConfig {
	return PingConfig{SameRegionInterval: sameRegionPingInterval, CrossRegionInterval: crossRegionPingInterval, Timeout: pingTimeout}
}

// SetPingConfig replaces the default configuration. It must be called before Serve.
func (n *Transport) SetPingConfig(p PingConfig) { n.pings = p }

// AddPeer connects to a new peer, or reconnects to a known one whose address changed.
func (n *Transport) AddPeer(a Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.links[a.Instance]; old != nil {
		if old.address == a {
			return
		}
		old.cancel()
	}
	l := newLink(n, a)
	n.links[a.Instance] = l
	if n.serving {
		n.wg.Go(l.run)
	}
}

// RemovePeer closes the connection to a peer and forgets the peer.
func (n *Transport) RemovePeer(name model.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[name]; l != nil {
		l.cancel()
		delete(n.links, name)
	}
}

// Peers returns the names of all peers.
func (n *Transport) Peers() []model.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.links))
}

func (n *Transport) link(name model.Instance) (*link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[name]
	return l, ok
}

// Handle registers the handler of a method. It must be called before Serve.
func (n *Transport) Handle(method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// HandleRaw registers the handler of raw messages of a method that have no reply. It must be called
// before Serve.
func (n *Transport) HandleRaw(method string, h RawHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rawHandlers[method] = h
}

func (n *Transport) rawHandler(method string) (RawHandler, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.rawHandlers[method]
	return h, ok
}

// Traffic returns the counter of the traffic with peers.
func (n *Transport) Traffic() *TrafficCounter { return n.traffic }

// Serve starts to accept connections on l and to dial the peers, until Close.
func (n *Transport) Serve(l net.Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener, n.serving = l, true
	n.wg.Go(func() { n.acceptLoop(l) })
	for _, p := range n.links {
		n.wg.Go(p.run)
	}
}

// Close closes the listener and all connections, and waits for the goroutines that Serve started.
func (n *Transport) Close() {
	n.cancel()
	n.mu.Lock()
	if n.listener != nil {
		_ = n.listener.Close()
	}
	for c := range n.acceptedConns {
		go func() { _ = c.Close() }()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Call sends a request and waits for the reply. The error tells whether the request may have taken
// effect: ErrUnavailable if it certainly did not, ErrUnknown if it may have.
func (n *Transport) Call(ctx context.Context, to model.Instance, method string, params, result any) error {
	p, ok := n.link(to)
	if !ok {
		return fault.Wrap(fault.ErrUnavailable, "call %s: unknown peer %q", method, to)
	}
	return p.call(ctx, method, params, result)
}

// Notify queues a message that has no reply. The message is dropped if the queue is full or the
// peer is unreachable.
func (n *Transport) Notify(to model.Instance, method string, params any) {
	if p, ok := n.link(to); ok {
		p.notify(method, params)
	}
}

// NotifyRaw is like Notify, for a payload that is not encoded as JSON.
func (n *Transport) NotifyRaw(to model.Instance, method string, payload []byte) {
	if p, ok := n.link(to); ok {
		p.enqueue(notification{method: method, payload: payload, isRaw: true}, len(payload))
	}
}

// IsConnected reports whether the outgoing connection to the peer is established.
func (n *Transport) IsConnected(to model.Instance) bool {
	p, ok := n.link(to)
	return ok && p.currentConn() != nil
}

func (n *Transport) acceptLoop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			klog.ErrorS(err, "accepting a peer connection failed, retrying")
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.serveConn(conn)
	}
}

// serveConn handles the requests of one peer. The peer must identify itself with a hello request first.
func (n *Transport) serveConn(netConn net.Conn) {
	if n.tls != nil {
		netConn = tls.Server(netConn, n.tls.ServerConfig())
	}
	ctx, cancel := context.WithCancel(n.ctx)
	s := &session{transport: n, ctx: ctx}
	withTimeouts := timeoutConn{Conn: netConn, readTimeout: readTimeout, writeTimeout: writeTimeout, countBytes: s.countBytes}
	s.stream = jsonrpc2.NewBufferedStream(withTimeouts, codec{handleRaw: s.handleRaw})
	conn := jsonrpc2.NewConn(n.ctx, s.stream, s, append(n.clockOptions(), jsonrpc2.SetLogger(discardLogger{}))...)
	n.mu.Lock()
	n.acceptedConns[conn] = struct{}{}
	n.mu.Unlock()
	go func() {
		<-conn.DisconnectNotify()
		cancel()
		n.mu.Lock()
		delete(n.acceptedConns, conn)
		n.mu.Unlock()
	}()
}

func (n *Transport) handler(method string) (Handler, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.handlers[method]
	return h, ok
}

// isCrossRegion reports whether r is another region than that of this instance.
func (n *Transport) isCrossRegion(r model.Region) bool { return r != n.self.Region }

// discardLogger drops the log lines of the jsonrpc2 library; this package logs failures where it
// handles them.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

var errMissingHello = fmt.Errorf("the first message of a connection must be %q", methodHello)
