// Package tombs keeps tombstones: records that something was cancelled that isn't there yet, so that it is cancelled when it
// arrives. It is part of replicated states, so it depends only on the order and the arguments of its calls.
package tombs
