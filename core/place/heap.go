package place

// heap is a binary min-heap ordered by less.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
}

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	i := len(h.items) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !h.less(h.items[i], h.items[up]) {
			return
		}
		h.items[i], h.items[up] = h.items[up], h.items[i]
		i = up
	}
}

func (h *heap[T]) pop() T {
	top := h.items[0]
	last := len(h.items) - 1
	h.items[0] = h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.siftDown(0)
	return top
}

func (h *heap[T]) siftDown(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h.items); c++ {
			if h.less(h.items[c], h.items[least]) {
				least = c
			}
		}
		if least == i {
			return
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}

// filter removes the items for which keep returns false.
func (h *heap[T]) filter(keep func(T) bool) {
	kept := h.items[:0]
	for _, x := range h.items {
		if keep(x) {
			kept = append(kept, x)
		}
	}
	clear(h.items[len(kept):])
	h.items = kept
	for i := len(kept)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}

func (h *heap[T]) empty() bool { return len(h.items) == 0 }
