// Package expect learns from finished runs how long tasks take, relative to their declared estimates, and predicts the
// run time of further tasks with the evidence for it. Its state is deterministic, so that it can be part of replicated
// state: it consists of integers, computed with integer arithmetic only, and depends on nothing but the order of the
// observations. It holds no I/O.
package expect
