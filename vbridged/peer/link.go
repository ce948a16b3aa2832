package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"vanillabridge/core/fault"
)

// Timeouts of a connection. A lost connection is detected within one ping interval plus
// pingTimeout. Traffic across regions is billed, so pings across regions are less frequent.
const (
	dialTimeout             = 2 * time.Second
	redialDelay             = 200 * time.Millisecond
	acceptRetryDelay        = 100 * time.Millisecond
	sameRegionPingInterval  = time.Second
	crossRegionPingInterval = 4 * time.Second
	pingTimeout             = 2 * time.Second
	readTimeout             = 10 * time.Second
	writeTimeout            = 2 * time.Second
)

// maxQueuedNotifications bounds the queue to a slow or unreachable peer. Further notifications are
// dropped; the protocols that send them retransmit.
const maxQueuedNotifications = 1024

// link is the dialing side of the connection to one peer.
type link struct {
	transport *Transport
	address   Address
	queue     chan notification
	ctx       context.Context // canceled when the Transport closes or the peer is removed
	cancel    context.CancelFunc

	mu           sync.Mutex
	rpcConn      *jsonrpc2.Conn           // nil while disconnected
	stream       jsonrpc2.ObjectStream    // of rpcConn, for raw calls; nil while disconnected
	lastCallID   uint64                   // ID of the last raw call
	pendingCalls map[uint64]chan rawReply // raw calls in progress, by call ID
}

type notification struct {
	method  string
	params  json.RawMessage
	payload []byte
	isRaw   bool
}

func newLink(t *Transport, address Address) *link {
	ctx, cancel := context.WithCancel(t.ctx)
	return &link{transport: t, address: address, queue: make(chan notification, maxQueuedNotifications), pendingCalls: map[uint64]chan rawReply{}, ctx: ctx, cancel: cancel}
}

// run dials the peer and redials after each failure until the link is canceled.
func (l *link) run() {
	for l.ctx.Err() == nil {
		c, stream, err := l.dial()
		if err != nil {
			klog.V(2).InfoS("dialing peer failed, retrying", "peer", l.address.Instance, "address", l.address.Peer, "error", err.Error())
			l.clearQueue()
			l.waitBeforeRedial()
			continue
		}
		l.setConn(c)
		l.setStream(stream)
		l.sendLoop(c, stream)
		l.setConn(nil)
		l.setStream(nil)
		_ = c.Close()
	}
}

func (l *link) dial() (*jsonrpc2.Conn, jsonrpc2.ObjectStream, error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address.Peer)
	if err != nil {
		return nil, nil, err
	}
	if l.transport.tls != nil {
		conn = tls.Client(conn, withServerName(l.transport.tls.ClientConfig(), l.address.Peer))
	}
	crossRegion := l.transport.isCrossRegion(l.address.Region)
	countBytes := func(sent, received int) { l.transport.traffic.addWireBytes(crossRegion, sent, received) }
	withTimeouts := timeoutConn{Conn: conn, readTimeout: readTimeout, writeTimeout: writeTimeout, countBytes: countBytes}
	stream := jsonrpc2.NewBufferedStream(withTimeouts, codec{handleRaw: l.handleRawReply})
	c := jsonrpc2.NewConn(l.ctx, stream, requestIgnorer{}, append(l.transport.clockOptions(), jsonrpc2.SetLogger(discardLogger{}))...)
	h := hello{Instance: l.transport.self.Instance, Region: l.transport.self.Region}
	if err := c.Call(ctx, methodHello, h, nil); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return c, stream, nil
}

// withServerName returns a copy of c that requires the peer's certificate to be valid for its address.
func withServerName(c *tls.Config, address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	config := c.Clone()
	config.ServerName = host
	return config
}

// sendLoop sends queued notifications and pings until the connection fails.
func (l *link) sendLoop(c *jsonrpc2.Conn, stream jsonrpc2.ObjectStream) {
	failed := make(chan struct{})
	go l.pingLoop(c, failed)
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-c.DisconnectNotify():
			return
		case <-failed:
			return
		case m := <-l.queue:
			var err error
			if m.isRaw {
				// The stream serializes its writes, so raw frames may be written between those of the connection.
				err = stream.WriteObject(rawFrame{frameType: frameNotification, method: m.method, payload: m.payload})
			} else {
				err = c.Notify(l.ctx, m.method, m.params)
			}
			if err != nil {
				return
			}
		}
	}
}

// pingLoop closes failed once the peer stops answering. The pings also keep the read deadlines
// of both sides from expiring on an idle connection.
func (l *link) pingLoop(c *jsonrpc2.Conn, failed chan<- struct{}) {
	defer close(failed)
	period := l.transport.pingConfig.SameRegionInterval
	if l.transport.isCrossRegion(l.address.Region) {
		period = l.transport.pingConfig.CrossRegionInterval
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-c.DisconnectNotify():
			return
		case <-ticker.C:
		}
		ctx, cancel := context.WithTimeout(l.ctx, l.transport.pingConfig.Timeout)
		err := c.Call(ctx, methodPing, nil, nil)
		cancel()
		if err != nil {
			return
		}
	}
}

// clearQueue drops all queued notifications: messages of the replicated log are outdated after a
// disconnect.
func (l *link) clearQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (l *link) waitBeforeRedial() {
	select {
	case <-l.ctx.Done():
	case <-time.After(redialDelay):
	}
}

func (l *link) setConn(c *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rpcConn = c
}

func (l *link) currentConn() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rpcConn
}

func (l *link) notify(method string, params any) {
	data, err := json.Marshal(params)
	if err != nil {
		klog.ErrorS(err, "encoding notification failed, dropping it", "method", method)
		return
	}
	l.enqueue(notification{method: method, params: data}, len(data))
}

// enqueue queues a notification, or drops it if the queue is full.
func (l *link) enqueue(m notification, size int) {
	select {
	case l.queue <- m:
		l.transport.traffic.addMessage(m.method, l.transport.isCrossRegion(l.address.Region), size)
	default:
	}
}

func (l *link) call(ctx context.Context, method string, params, result any) error {
	c := l.currentConn()
	if c == nil {
		return fault.Wrap(fault.ErrUnavailable, "call %s at %s: not connected", method, l.address.Instance)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return fault.Wrap(fault.ErrInvalid, "call %s: encode parameters: %v", method, err)
	}
	l.transport.traffic.addMessage(method, l.transport.isCrossRegion(l.address.Region), len(data))
	err = c.Call(ctx, method, json.RawMessage(data), result)
	if err == nil {
		return nil
	}
	if rpcErr := (*jsonrpc2.Error)(nil); errors.As(err, &rpcErr) {
		return fault.Wrap(decodeError(rpcErr), "call %s at %s", method, l.address.Instance)
	}
	return fault.Wrap(fault.ErrUnknown, "call %s at %s: %v", method, l.address.Instance, err)
}

// requestIgnorer ignores requests: the accepting side sends none over this connection.
type requestIgnorer struct{}

// Handle does nothing.
func (requestIgnorer) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
