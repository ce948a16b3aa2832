package entry

import (
	"errors"
	"io"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/permit"
)

// linger keeps the permit of an abandoned request while the backend server may still run it,
// because a server need not stop at the deadline of a request. It closes the sending side of
// the connection and waits for the server to close its own, which it does after the answer.
// Without that sign the permit is held for the maximum request time. e.mu is held.
func (e *Entry) linger(now clock.Millis, l *lease) {
	last := permit.LastRun(l.sent)
	half, ok := l.wire.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		e.holder.Release(now, l.key, false, last)
		e.shut(now, l.wire, last)
		return
	}
	_ = l.wire.SetDeadline(time.Now().Add((last - now).Std()))
	go func() {
		ended := hasEnded(l.wire)
		e.mu.Lock()
		defer e.mu.Unlock()
		now := e.ports.Clock.Now()
		if ended {
			e.giveBack(now, l, false)
			return
		}
		e.holder.Release(now, l.key, false, last)
		e.shut(now, l.wire, last)
	}()
}

// hasEnded drops the rest of an answer and reports whether the server closed the connection in
// good order. A reset does not tell whether it still runs the request.
func hasEnded(w *wire) bool {
	_, err := io.Copy(io.Discard, w.Conn)
	return err == nil || errors.Is(err, io.EOF)
}
