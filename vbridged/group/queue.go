package group

import "sync"

// queue hands items to one consumer without ever blocking the producers.
type queue[T any] struct {
	ready chan struct{}

	mu    sync.Mutex
	items []T
}

func newQueue[T any]() *queue[T] { return &queue[T]{ready: make(chan struct{}, 1)} }

func (q *queue[T]) push(v T) {
	q.mu.Lock()
	q.items = append(q.items, v)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *queue[T]) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// take returns all items; the consumer calls it after receiving from ready.
func (q *queue[T]) take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}
