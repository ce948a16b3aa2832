package tombs

import (
	"crypto/sha256"
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"vanillabridge/core/clock"
)

// Key identifies what was cancelled. It is a hash, so that the size of a tombstone doesn't depend on what callers choose as
// an identifier.
type Key [16]byte

// KeyOf returns the key of a name.
func KeyOf(name string) Key {
	sum := sha256.Sum256([]byte(name))
	return Key(sum[:len(Key{})])
}

// Entry is a tombstone and its time.
type Entry struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	At  clock.Millis
}

// Set is a bounded set of tombstones with the time of each. It is not safe for concurrent use.
type Set struct {
	byKey  *simplelru.LRU[Key, clock.Millis] // oldest first
	newest clock.Millis                      // time of the newest tombstone, or 0 if there is none
}

// New returns a set of tombstones, oldest first.
func New(list ...Entry) *Set {
	byKey, err := simplelru.NewLRU[Key, clock.Millis](math.MaxInt, nil) // Record limits the number
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	s := &Set{byKey: byKey}
	for _, e := range list {
		s.add(e.Key, e.At)
	}
	return s
}

// add adds or renews a tombstone. The clock of one leader may be behind that of the one before it; a tombstone counts as
// no older than those before it.
func (s *Set) add(k Key, at clock.Millis) {
	s.newest = max(s.newest, at)
	s.byKey.Add(k, s.newest)
}

// Record adds a tombstone or renews it, drops the oldest ones beyond a limit, which is at least 1, and returns how many it
// has dropped.
func (s *Set) Record(k Key, at clock.Millis, limit int) (dropped int) {
	s.add(k, at)
	for ; s.byKey.Len() > limit; dropped++ {
		s.byKey.RemoveOldest()
	}
	return dropped
}

// Find returns the time of a tombstone, and whether there is one.
func (s *Set) Find(k Key) (at clock.Millis, ok bool) { return s.byKey.Peek(k) }

// Prune removes the tombstones before a time.
func (s *Set) Prune(before clock.Millis) {
	for _, at, ok := s.byKey.GetOldest(); ok && at < before; _, at, ok = s.byKey.GetOldest() {
		s.byKey.RemoveOldest()
	}
	if s.Len() == 0 {
		s.newest = 0
	}
}

// Len returns the number of tombstones.
func (s *Set) Len() int { return s.byKey.Len() }

// Entries returns all tombstones, oldest first.
func (s *Set) Entries() []Entry {
	list := make([]Entry, 0, s.byKey.Len())
	for _, k := range s.byKey.Keys() {
		at, _ := s.byKey.Peek(k)
		list = append(list, Entry{Key: k, At: at})
	}
	return list
}
