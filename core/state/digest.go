package state

import "hash/fnv"

// documentDigest returns a hash of a document, to detect an idempotency key that
// is reused for another document by mistake. It is not cryptographic: a caller
// can forge a collision.
func documentDigest(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
