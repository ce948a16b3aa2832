// Package group runs one replicated group: it drives a quorum.Node with time, messages and a
// store, applies committed entries to a Machine and forwards proposals to the leader.
package group
