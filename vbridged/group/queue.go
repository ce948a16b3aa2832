package group

import "sync"

// queue is an unbounded FIFO queue with many producers, which never block, and one consumer.
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

// takeAll removes and returns all items. The consumer calls it after it has received from ready.
func (q *queue[T]) takeAll() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}
