package sink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a Sink.
const (
	// maxQueuedLines bounds the lines queued for the writer.
	maxQueuedLines = 4096
	// maxLineBytes bounds one line, and the size from which on a batch of lines is written.
	maxLineBytes = 16 << 10
)

// Sink is an io.Writer that takes one log line per call to Write.
type Sink struct {
	out   io.Writer
	queue chan []byte
	done  chan struct{}

	mu                sync.Mutex
	closed            bool
	maxLinesPerSecond int
	currentSecond     int64 // Unix time to which linesThisSecond applies
	linesThisSecond   int
	unreportedDrops   uint64 // lines dropped since the last report
	dropped           uint64
}

// New starts a Sink that writes at most maxLinesPerSecond lines per second to out.
func New(out io.Writer, maxLinesPerSecond int) *Sink {
	s := &Sink{out: out, queue: make(chan []byte, maxQueuedLines), done: make(chan struct{}), maxLinesPerSecond: maxLinesPerSecond}
	go s.writeLoop()
	return s
}

// Write queues a copy of a line, or drops it and counts the drop. It does not block on the underlying
// writer and always returns a nil error.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(p), nil
	}
	if now := time.Now().Unix(); now != s.currentSecond {
		s.currentSecond, s.linesThisSecond = now, 0
		s.reportDropped()
	}
	if s.linesThisSecond >= s.maxLinesPerSecond || len(p) > maxLineBytes || !s.enqueue(append([]byte(nil), p...)) {
		s.unreportedDrops++
		s.dropped++
		return len(p), nil
	}
	s.linesThisSecond++
	return len(p), nil
}

// reportDropped queues a line with the number of lines dropped since the last report. The caller must
// hold mu.
func (s *Sink) reportDropped() {
	if s.unreportedDrops == 0 {
		return
	}
	line := fmt.Sprintf("{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines left out\",\"count\":%d}\n", time.Now().Format(time.RFC3339Nano), s.unreportedDrops)
	if s.enqueue([]byte(line)) {
		s.unreportedDrops = 0
	}
}

func (s *Sink) enqueue(line []byte) bool {
	select {
	case s.queue <- line:
		return true
	default:
		return false
	}
}

// Dropped returns the total number of dropped lines.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// writeLoop writes queued lines. It combines the lines that are queued at a time into one Write call.
func (s *Sink) writeLoop() {
	defer close(s.done)
	var batch []byte
	for line := range s.queue {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxLineBytes; {
			select {
			case next, ok := <-s.queue:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		// A failed write of the log cannot be reported anywhere.
		_, _ = s.out.Write(batch)
	}
}

// Close stops accepting lines and waits up to one second for the queued lines to be written.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		s.reportDropped()
		close(s.queue)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(time.Second):
	}
}
