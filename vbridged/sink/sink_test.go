package sink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"vanillabridge/vbridged/sink"
)

// stuck is a writer that blocks until it is let go, as a full pipe does.
type stuck struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// Guards against logging that blocks the program when nobody reads the log, and that loses lines
// without a word.
func TestNeverBlocks(t *testing.T) {
	out := &stuck{}
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
		t.Fatalf("%d lines written and %d counted as left out, of 10000", lines, dropped)
	}
}

// Guards against a flood of lines that takes the processor time of the work.
func TestBudget(t *testing.T) {
	out := &stuck{}
	s := sink.New(out, 10)
	for range 1000 {
		_, _ = s.Write([]byte("line\n"))
	}
	s.Close()
	// The loop may touch two seconds.
	if lines := strings.Count(out.out.String(), "line\n"); lines < 10 || lines > 20 {
		t.Fatalf("%d lines written with a budget of 10 a second", lines)
	}
}
