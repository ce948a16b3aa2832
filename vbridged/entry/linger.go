package entry

import (
	"errors"
	"io"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/permit"
)

// holdAbandonedPermit holds the permit of an abandoned request while the backend server may
// still run it, because a server need not stop at the deadline of a request. It closes the
// sending side of the connection and waits for the server to close its side, which it does
// after the response. If the server does not, the permit is held for the maximum request time.
// e.mu is held.
func (e *Entry) holdAbandonedPermit(now clock.Millis, p *attemptPermit) {
	latestEnd := permit.LatestRunEnd(p.sentAt)
	writeCloser, ok := p.conn.Conn.(interface{ CloseWrite() error })
	if !ok || writeCloser.CloseWrite() != nil {
		e.holder.Release(now, p.server, false, latestEnd)
		e.closeConn(now, p.conn, latestEnd)
		return
	}
	_ = p.conn.SetDeadline(time.Now().Add((latestEnd - now).Duration()))
	go func() {
		closed := awaitServerClose(p.conn)
		e.mu.Lock()
		defer e.mu.Unlock()
		now := e.ports.Clock.Now()
		if closed {
			e.releasePermit(now, p, false)
			return
		}
		e.holder.Release(now, p.server, false, latestEnd)
		e.closeConn(now, p.conn, latestEnd)
	}()
}

// awaitServerClose discards the rest of a response and reports whether the server closed the
// connection without an error. After a reset the server may still run the request.
func awaitServerClose(conn *backendConn) bool {
	_, err := io.Copy(io.Discard, conn.Conn)
	return err == nil || errors.Is(err, io.EOF)
}
