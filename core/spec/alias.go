package spec

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Aliases of shared types, so that a program that prints a configuration needs to import only
// this package.
type (
	// Base holds the fields that all kinds of work share.
	Base = model.Base
	// Service is long-running work whose tasks are replaced when they end.
	Service = model.Service
	// Batch is a set of independent tasks that run to completion.
	Batch = model.Batch
	// Gang is a set of tasks that start together or not at all.
	Gang = model.Gang
	// Size is an amount of CPU, memory and accelerators.
	Size = model.Size
	// Zone names an availability zone.
	Zone = model.Zone
)

// The urgencies of work and requests.
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
