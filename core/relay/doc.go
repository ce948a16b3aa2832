// Package relay assigns workers to the cores that carry the leader's calls to them, and batches these calls. A relay
// decides nothing: it carries orders and leases under the leader's term. It holds no I/O.
package relay
