package flow

import (
	"crypto/sha256"
	"fmt"
	"io"
	"slices"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// KeyHash is the SHA-256 hash of a caller's API key. Keys are hashed where they arrive; the plain key is only in
// Config.Document, which operators read back.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key; the hash of the empty key is the zero value, which no team holds.
func HashKey(key string) KeyHash {
	if key == "" {
		return KeyHash{}
	}
	return sha256.Sum256([]byte(key))
}

// hiddenHash is what is printed for a hash.
const hiddenHash = "hash of a key"

// Format prints the same text for all hashes, so that none gets into a log by accident.
func (KeyHash) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, hiddenHash) }

// MarshalText returns the same text for all hashes, for the same reason.
func (KeyHash) MarshalText() ([]byte, error) { return []byte(hiddenHash), nil }

// Team is a group of callers with its own keys and its part of the workers.
type Team struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Keys []KeyHash
	// Weight is the team's part of the workers when all are in use, relative to the weights of the others. It is
	// also the number of jobs a second up to which the team's jobs count as within its part; 0 means no limit.
	Weight float64
	// Cap is the declared size of all tasks that the team may have running; 0 in a dimension means no limit.
	Cap model.Size
}

// Access says which callers may use which queues. Without Enforced all callers may use all queues and belong to no
// team.
type Access struct {
	_        struct{} `cbor:",toarray"`
	Enforced bool
	Teams    []Team
	// PublicQueues lists the queues that need no key, each as its host followed by its path prefix.
	PublicQueues []string
}

// Endpoint returns the host of a queue followed by its path prefix, which together identify it.
func (q Queue) Endpoint() string { return q.Host + q.Prefix }

// Authorize returns the team that a key belongs to, empty if to none, and whether its holder may use the queue. A
// public queue needs no key, but a key that no team holds is refused there too: its holder has to learn of it.
func (a Access) Authorize(q Queue, key KeyHash) (team string, ok bool) {
	if !a.Enforced {
		return "", true
	}
	if key == (KeyHash{}) {
		return "", slices.Contains(a.PublicQueues, q.Endpoint())
	}
	for _, t := range a.Teams {
		if slices.Contains(t.Keys, key) {
			return t.Name, true
		}
	}
	return "", false
}

// MayUse reports whether a caller of a team may see and cancel a job of another one. A job of no team belongs to all.
func (a Access) MayUse(caller, owner string) bool {
	return !a.Enforced || owner == "" || caller == owner
}

// IsZero reports whether there is nothing to encode.
func (a Access) IsZero() bool { return !a.Enforced && len(a.Teams) == 0 && len(a.PublicQueues) == 0 }

// Team returns the team with a name, and whether there is one.
func (a Access) Team(name string) (Team, bool) {
	for _, t := range a.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Check returns an error that names the teams, but no key, if a team has no name, two teams have the same name or
// share a key, or a weight or cap is negative; else nil.
func (a Access) Check() error {
	names := map[string]bool{}
	owners := map[KeyHash]string{}
	for _, t := range a.Teams {
		if t.Name == "" || names[t.Name] {
			return fault.Wrap(fault.ErrInvalid, "team name %q is empty or used twice", t.Name)
		}
		if !(t.Weight >= 0) || t.Cap.CPU < 0 || t.Cap.Memory < 0 || t.Cap.Accel < 0 {
			return fault.Wrap(fault.ErrInvalid, "team %q: weight %g or cap %s is negative", t.Name, t.Weight, t.Cap)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if k == (KeyHash{}) {
				return fault.Wrap(fault.ErrInvalid, "team %q has an empty key", t.Name)
			}
			if other, taken := owners[k]; taken && other != t.Name {
				return fault.Wrap(fault.ErrInvalid, "teams %q and %q share a key", other, t.Name)
			}
			owners[k] = t.Name
		}
	}
	return nil
}
