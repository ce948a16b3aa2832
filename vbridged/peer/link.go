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

// Timeouts of a connection. A cut is noticed after one period of pings and pingTimeout. Pings
// across regions are paid for, so there are fewer of them.
const (
	dialTimeout  = 2 * time.Second
	redialPause  = 200 * time.Millisecond
	acceptPause  = 100 * time.Millisecond
	pingLocal    = time.Second
	pingAcross   = 4 * time.Second
	pingTimeout  = 2 * time.Second
	readTimeout  = 10 * time.Second
	writeTimeout = 2 * time.Second
)

// queueLength bounds the notifications that wait for a slow or unreachable peer. The
// protocols that use them repeat what is lost.
const queueLength = 1024

// link is the dialling side of the connection to one peer.
type link struct {
	net    *Net
	to     Address
	queue  chan message
	ctx    context.Context // ends with the Net, or when the peer is removed
	cancel context.CancelFunc

	mu      sync.Mutex
	current *jsonrpc2.Conn           // nil while the connection is down
	stream  jsonrpc2.ObjectStream    // of the connection, for raw calls
	number  uint64                   // of the last raw call
	calls   map[uint64]chan rawReply // raw calls in progress
}

type message struct {
	method string
	params json.RawMessage
	raw    []byte
	isRaw  bool
}

func newLink(n *Net, to Address) *link {
	ctx, cancel := context.WithCancel(n.ctx)
	return &link{net: n, to: to, queue: make(chan message, queueLength), calls: map[uint64]chan rawReply{}, ctx: ctx, cancel: cancel}
}

// run keeps one connection up until the Net closes.
func (l *link) run() {
	for l.ctx.Err() == nil {
		c, stream, err := l.dial()
		if err != nil {
			klog.V(2).InfoS("dial of a peer failed", "peer", l.to.Instance, "address", l.to.Peer, "error", err.Error())
			l.drop()
			l.pause()
			continue
		}
		l.set(c)
		l.setStream(stream)
		l.serve(c, stream)
		l.set(nil)
		l.setStream(nil)
		_ = c.Close()
	}
}

func (l *link) dial() (*jsonrpc2.Conn, jsonrpc2.ObjectStream, error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.to.Peer)
	if err != nil {
		return nil, nil, err
	}
	if l.net.tls != nil {
		raw = tls.Client(raw, withName(l.net.tls.Client(), l.to.Peer))
	}
	crosses := l.net.crosses(l.to.Region)
	count := func(sent, received int) { l.net.bytes.wire(crosses, sent, received) }
	timed := timedConn{Conn: raw, read: readTimeout, write: writeTimeout, count: count}
	stream := jsonrpc2.NewBufferedStream(timed, codec{raw: l.take})
	c := jsonrpc2.NewConn(l.ctx, stream, refuse{}, append(l.net.stampOptions(), jsonrpc2.SetLogger(quiet{}))...)
	h := hello{Instance: l.net.self.Instance, Region: l.net.self.Region}
	if err := c.Call(ctx, methodHello, h, nil); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return c, stream, nil
}

// withName makes the certificate of the peer prove its address.
func withName(c *tls.Config, address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	named := c.Clone()
	named.ServerName = host
	return named
}

// serve sends queued notifications and pings until the connection fails.
func (l *link) serve(c *jsonrpc2.Conn, stream jsonrpc2.ObjectStream) {
	failed := make(chan struct{})
	go l.ping(c, failed)
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
				// The stream orders its writes, so raw messages may go between those of the connection.
				err = stream.WriteObject(rawFrame{mark: rawMark, method: m.method, payload: m.raw})
			} else {
				err = c.Notify(l.ctx, m.method, m.params)
			}
			if err != nil {
				return
			}
		}
	}
}

// ping closes failed once the peer stops answering. The pings also keep the read deadlines
// of both sides from passing on a quiet connection.
func (l *link) ping(c *jsonrpc2.Conn, failed chan<- struct{}) {
	defer close(failed)
	period := l.net.pings.Local
	if l.net.crosses(l.to.Region) {
		period = l.net.pings.Across
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
		ctx, cancel := context.WithTimeout(l.ctx, l.net.pings.Timeout)
		err := c.Call(ctx, methodPing, nil, nil)
		cancel()
		if err != nil {
			return
		}
	}
}

// drop empties the queue: old messages of the log protocol are of no use after a cut.
func (l *link) drop() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (l *link) pause() {
	select {
	case <-l.ctx.Done():
	case <-time.After(redialPause):
	}
}

func (l *link) set(c *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = c
}

func (l *link) conn() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

func (l *link) notify(method string, params any) {
	data, err := json.Marshal(params)
	if err != nil {
		klog.ErrorS(err, "encode a notification failed", "method", method)
		return
	}
	l.push(message{method: method, params: data}, len(data))
}

// push queues a message, or drops it when the queue is full.
func (l *link) push(m message, size int) {
	select {
	case l.queue <- m:
		l.net.bytes.purpose(m.method, l.net.crosses(l.to.Region), size)
	default:
	}
}

func (l *link) call(ctx context.Context, method string, params, result any) error {
	c := l.conn()
	if c == nil {
		return fault.Wrap(fault.ErrUnavailable, "call %s at %s: not connected", method, l.to.Instance)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return fault.Wrap(fault.ErrInvalid, "call %s: encode: %v", method, err)
	}
	l.net.bytes.purpose(method, l.net.crosses(l.to.Region), len(data))
	err = c.Call(ctx, method, json.RawMessage(data), result)
	if err == nil {
		return nil
	}
	if answered := (*jsonrpc2.Error)(nil); errors.As(err, &answered) {
		return fault.Wrap(fromWire(answered), "call %s at %s", method, l.to.Instance)
	}
	return fault.Wrap(fault.ErrUnknown, "call %s at %s: %v", method, l.to.Instance, err)
}

// refuse answers nothing: the accepting side sends no requests over this connection.
type refuse struct{}

// Handle ignores the request.
func (refuse) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
