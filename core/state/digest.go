package state

import "hash/fnv"

// digestOf tells documents and requests apart that were sent under one key by mistake. It
// does not protect against a caller who forges it.
func digestOf(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// RequestDigest identifies what a non-idempotent request asks for, next to its key.
func RequestDigest(method, service, path string) uint64 {
	return digestOf(method, service, path)
}
