// Package group is the runtime of one replica of a consensus group. It drives a quorum.Node with
// clock ticks, network messages and durable storage, applies committed log entries to a Machine,
// and forwards proposals to the leader.
package group
