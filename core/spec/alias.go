package spec

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Shared types, so that a program that prints a configuration imports this package only.
type (
	// Base is what all kinds of work have in common.
	Base = model.Base
	// Service is long-running work.
	Service = model.Service
	// Batch is a set of independent tasks that each run to an end.
	Batch = model.Batch
	// Gang is a set of tasks that start together or not at all.
	Gang = model.Gang
	// Size is an amount of each resource.
	Size = model.Size
	// Zone names an availability zone.
	Zone = model.Zone
)

// The urgencies.
const (
	Low    = model.Low
	Normal = model.Normal
	Urgent = model.Urgent
)

// Units of amounts and durations.
const (
	Core        = 1000 * model.Millicores(1)
	MiB         = model.Mebibytes(1)
	GiB         = 1024 * MiB
	Millisecond = clock.Millisecond
	Second      = clock.Second
	Minute      = clock.Minute
	Hour        = clock.Hour
)
