package share

// Account is what a team has had of the capacity, relative to its weight: shares of the capacity times seconds, divided
// by the weight.
type Account struct {
	had    float64
	weight float64
}

// NewAccount returns an account that has had nothing. A weight of 0 counts as 1.
func NewAccount(weight float64) Account {
	if weight <= 0 {
		weight = 1
	}
	return Account{weight: weight}
}

// Charge adds a share of the capacity times seconds; a negative one takes back what was charged too much.
func (a *Account) Charge(amount float64) { a.had += amount / a.weight }

// Had returns what the account has had, relative to its weight.
func (a *Account) Had() float64 { return a.had }

// Weight returns the weight.
func (a *Account) Weight() float64 { return a.weight }

// Bound raises the account to low, so that a team without work saves nothing up for later, and lowers it to high, so
// that one whose jobs are large compared with its weight doesn't wait until it has made up for all of them.
func (a *Account) Bound(low, high float64) { a.had = min(max(a.had, low), high) }

// Turns is a queue of those who want capacity, the one that has had least relative to its weight first. Its cost grows
// with the logarithm of their number.
type Turns[T any] struct{ heap []turn[T] }

type turn[T any] struct {
	had  float64
	tie  int // order of those that have had the same
	item T
}

func (a *turn[T]) before(b *turn[T]) bool { return a.had < b.had || (a.had == b.had && a.tie < b.tie) }

// degree is the number of children in the heap: with 4, 10,000 entries take 7 levels.
const degree = 4

// Reset removes all entries.
func (q *Turns[T]) Reset() {
	clear(q.heap)
	q.heap = q.heap[:0]
}

// Len returns the number of entries.
func (q *Turns[T]) Len() int { return len(q.heap) }

// Add adds an entry for one that has had an amount.
func (q *Turns[T]) Add(had float64, item T) {
	q.heap = append(q.heap, turn[T]{had, len(q.heap), item})
	for i := len(q.heap) - 1; i > 0 && q.heap[i].before(&q.heap[(i-1)/degree]); i = (i - 1) / degree {
		q.heap[i], q.heap[(i-1)/degree] = q.heap[(i-1)/degree], q.heap[i]
	}
}

// First returns the entry whose turn it is; there must be one.
func (q *Turns[T]) First() (had float64, item T) { return q.heap[0].had, q.heap[0].item }

// Update sets what the first entry has had, and moves it to its new place.
func (q *Turns[T]) Update(had float64) {
	if had != q.heap[0].had {
		q.heap[0].had = had
		q.sink()
	}
}

// Remove removes the first entry.
func (q *Turns[T]) Remove() {
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = turn[T]{}
	q.heap = q.heap[:last]
	q.sink()
}

func (q *Turns[T]) sink() {
	i, n := 0, len(q.heap)
	for {
		least := i
		for child := degree*i + 1; child <= degree*i+degree && child < n; child++ {
			if q.heap[child].before(&q.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
