// Package share decides whose turn it is when all capacity is in use: it orders the teams that want capacity by what
// they hold or have asked for, relative to their weights and floors. The scheduler of a zone and the planner of a
// domain both use it. It holds no I/O.
package share
