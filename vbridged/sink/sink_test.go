package sink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"vanillabridge/vbridged/sink"
)

// blockingWriter is a writer that blocks while its mutex is locked, like a full pipe.
type blockingWriter struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// Guards against logging that blocks the program when the log is not read, and against dropped lines
// that are not counted.
func TestWriteDoesNotBlockOnSlowWriter(t *testing.T) {
	out := &blockingWriter{}
	out.mu.Lock()
	s := sink.New(out, 1<<20)
	for range 10_000 {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
	}
	dropped := s.Dropped()
	out.mu.Unlock()
	s.Close()
	lines := uint64(strings.Count(out.out.String(), "line\n"))
	if dropped == 0 || lines+dropped != 10_000 {
		t.Fatalf("%d lines written and %d counted as dropped, of 10000", lines, dropped)
	}
}

// Guards against a burst of log lines that takes CPU time from the service.
func TestWriteLimitsLinesPerSecond(t *testing.T) {
	out := &blockingWriter{}
	s := sink.New(out, 10)
	for range 1000 {
		_, _ = s.Write([]byte("line\n"))
	}
	s.Close()
	// The loop may span two seconds of the clock, each with a limit of 10 lines.
	if lines := strings.Count(out.out.String(), "line\n"); lines < 10 || lines > 20 {
		t.Fatalf("%d lines written, want 10 to 20 with a limit of 10 per second", lines)
	}
}
