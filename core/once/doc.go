// Package once implements the rules for non-idempotent requests, which must run at most once:
// the owner zone of an idempotency key, the life cycle of its record, and the state machine of
// one request on an entry instance. It does no I/O and reads no clock: the caller stores the
// records in the log of the owner zone and passes in the time.
package once
