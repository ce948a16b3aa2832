package fleet

import (
	"context"
	"sync"

	"vanillabridge/core/flow"
)

// lanes let one order at a time go to a process of a worker, so that it needs one connection.
type lanes struct {
	mu   sync.Mutex
	list map[flow.Incarnation]*lane
}

type lane struct {
	turn  chan struct{} // has room for the order in progress
	users int
}

func newLanes() *lanes { return &lanes{list: map[flow.Incarnation]*lane{}} }

// enter waits for the turn of an order for a worker. It reports false if ctx ends before.
func (s *lanes) enter(ctx context.Context, worker flow.Incarnation) bool {
	s.mu.Lock()
	l := s.list[worker]
	if l == nil {
		l = &lane{turn: make(chan struct{}, 1)}
		s.list[worker] = l
	}
	l.users++
	s.mu.Unlock()
	select {
	case l.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		s.drop(worker, l)
		return false
	}
}

// isLast reports whether no further order waits for the turn of a worker.
func (s *lanes) isLast(worker flow.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list[worker].users == 1
}

// leave ends the turn of an order for a worker.
func (s *lanes) leave(worker flow.Incarnation) {
	s.mu.Lock()
	l := s.list[worker]
	s.mu.Unlock()
	<-l.turn
	s.drop(worker, l)
}

func (s *lanes) drop(worker flow.Incarnation, l *lane) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.users--; l.users == 0 {
		delete(s.list, worker)
	}
}
