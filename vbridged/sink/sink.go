package sink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a sink.
const (
	// waiting bounds the lines that wait for the writer.
	waiting = 4096
	// maxLine bounds one line, in bytes.
	maxLine = 16 << 10
)

// Sink is an io.Writer that takes one line a call.
type Sink struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu     sync.Mutex
	closed bool
	budget int // lines a second
	second int64
	used   int
	left   uint64 // lines left out since the last report
	total  uint64
}

// New starts a sink that writes at most budget lines a second to out.
func New(out io.Writer, budget int) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, waiting), done: make(chan struct{}), budget: budget}
	go s.run()
	return s
}

// Write queues a copy of a line, or counts it as left out. It never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(p), nil
	}
	if now := time.Now().Unix(); now != s.second {
		s.second, s.used = now, 0
		s.report()
	}
	if s.used >= s.budget || len(p) > maxLine || !s.push(append([]byte(nil), p...)) {
		s.left++
		s.total++
		return len(p), nil
	}
	s.used++
	return len(p), nil
}

// report writes how many lines were left out. The caller holds mu.
func (s *Sink) report() {
	if s.left == 0 {
		return
	}
	line := fmt.Sprintf("{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines left out\",\"count\":%d}\n", time.Now().Format(time.RFC3339Nano), s.left)
	if s.push([]byte(line)) {
		s.left = 0
	}
}

func (s *Sink) push(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// Dropped returns the number of lines left out so far.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// run writes waiting lines; all that wait at a time share one write.
func (s *Sink) run() {
	defer close(s.done)
	var batch []byte
	for line := range s.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxLine; {
			select {
			case next, ok := <-s.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		// There is nowhere to report a failed write of the log.
		_, _ = s.out.Write(batch)
	}
}

// Close writes what waits, for up to a second.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		s.report()
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(time.Second):
	}
}
