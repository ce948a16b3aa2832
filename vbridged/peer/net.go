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
	self       Address
	tls        TLSProvider
	pingConfig PingConfig
	clock      HybridClock
	traffic    *TrafficCounter

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

// New returns a Transport that is not yet listening. If tlsProvider is nil, connections use plain
// TCP; if clock is nil, messages carry no timestamps.
func New(self Address, others []Address, tlsProvider TLSProvider, clock HybridClock) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		self:            self,
		links:           map[model.Instance]*link{},
		tls:             tlsProvider,
		pingConfig:      DefaultPingConfig(),
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
		t.links[a.Instance] = newLink(t, a)
	}
	return t
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
func (t *Transport) SetPingConfig(config PingConfig) { t.pingConfig = config }

// AddPeer connects to a new peer, or reconnects to a known one whose address changed.
func (t *Transport) AddPeer(a Address) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.links[a.Instance]; old != nil {
		if old.address == a {
			return
		}
		old.cancel()
	}
	l := newLink(t, a)
	t.links[a.Instance] = l
	if t.serving {
		t.wg.Go(l.run)
	}
}

// RemovePeer closes the connection to a peer and removes the peer.
func (t *Transport) RemovePeer(name model.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[name]; l != nil {
		l.cancel()
		delete(t.links, name)
	}
}

// Peers returns the names of all peers.
func (t *Transport) Peers() []model.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.links))
}

func (t *Transport) link(name model.Instance) (*link, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[name]
	return l, ok
}

// Handle registers the handler of a method. It must be called before Serve.
func (t *Transport) Handle(method string, h Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[method] = h
}

// HandleRaw registers the handler of raw messages of a method that have no reply. It must be called
// before Serve.
func (t *Transport) HandleRaw(method string, h RawHandler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rawHandlers[method] = h
}

func (t *Transport) rawHandler(method string) (RawHandler, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.rawHandlers[method]
	return h, ok
}

// Traffic returns the counter of the traffic with peers.
func (t *Transport) Traffic() *TrafficCounter { return t.traffic }

// Serve starts to accept connections on l and to dial the peers, until Close.
func (t *Transport) Serve(l net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener, t.serving = l, true
	t.wg.Go(func() { t.acceptLoop(l) })
	for _, p := range t.links {
		t.wg.Go(p.run)
	}
}

// Close closes the listener and all connections, and waits for the goroutines that Serve started.
func (t *Transport) Close() {
	t.cancel()
	t.mu.Lock()
	if t.listener != nil {
		_ = t.listener.Close()
	}
	for c := range t.acceptedConns {
		go func() { _ = c.Close() }()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

// Call sends a request and waits for the reply. The error states whether the request may have taken
// effect: ErrUnavailable if it certainly did not, ErrUnknown if it may have.
func (t *Transport) Call(ctx context.Context, to model.Instance, method string, params, result any) error {
	l, ok := t.link(to)
	if !ok {
		return fault.Wrap(fault.ErrUnavailable, "call %s: unknown peer %q", method, to)
	}
	return l.call(ctx, method, params, result)
}

// Notify queues a message that has no reply. The message is dropped if the queue is full or the
// peer is unreachable.
func (t *Transport) Notify(to model.Instance, method string, params any) {
	if l, ok := t.link(to); ok {
		l.notify(method, params)
	}
}

// NotifyRaw is like Notify, for a payload that is not encoded as JSON.
func (t *Transport) NotifyRaw(to model.Instance, method string, payload []byte) {
	if l, ok := t.link(to); ok {
		l.enqueue(notification{method: method, payload: payload, isRaw: true}, len(payload))
	}
}

// IsConnected reports whether the outgoing connection to the peer is established.
func (t *Transport) IsConnected(to model.Instance) bool {
	l, ok := t.link(to)
	return ok && l.currentConn() != nil
}

func (t *Transport) acceptLoop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			klog.ErrorS(err, "accepting a peer connection failed, retrying")
			time.Sleep(acceptRetryDelay)
			continue
		}
		t.serveConn(conn)
	}
}

// serveConn handles the requests of one peer. The peer must identify itself with a hello request first.
func (t *Transport) serveConn(netConn net.Conn) {
	if t.tls != nil {
		netConn = tls.Server(netConn, t.tls.ServerConfig())
	}
	ctx, cancel := context.WithCancel(t.ctx)
	s := &session{transport: t, ctx: ctx}
	withTimeouts := timeoutConn{Conn: netConn, readTimeout: readTimeout, writeTimeout: writeTimeout, countBytes: s.countBytes}
	s.stream = jsonrpc2.NewBufferedStream(withTimeouts, codec{handleRaw: s.handleRaw})
	conn := jsonrpc2.NewConn(t.ctx, s.stream, s, append(t.clockOptions(), jsonrpc2.SetLogger(discardLogger{}))...)
	t.mu.Lock()
	t.acceptedConns[conn] = struct{}{}
	t.mu.Unlock()
	go func() {
		<-conn.DisconnectNotify()
		cancel()
		t.mu.Lock()
		delete(t.acceptedConns, conn)
		t.mu.Unlock()
	}()
}

func (t *Transport) handler(method string) (Handler, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.handlers[method]
	return h, ok
}

// isCrossRegion reports whether r is another region than that of this instance.
func (t *Transport) isCrossRegion(r model.Region) bool { return r != t.self.Region }

// discardLogger drops the log lines of the jsonrpc2 library; this package logs failures where it
// handles them.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

var errMissingHello = fmt.Errorf("the first message of a connection must be %q", methodHello)
