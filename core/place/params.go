package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

const (
	// usablePercent is the part of a worker's processor and memory that charges may fill. Measured
	// use above throttlePercent slows tasks down, so charges stay below it.
	usablePercent = 85
	// priorFactor scales the declared size of a task without evidence, because declared sizes are
	// off by up to 4.
	priorFactor = 4
	// settle is how long a new scheduler waits for reports before it calls a shape impossible.
	settle = 5 * clock.Second
	// againAfter delays a task that failed or ended too early, doubling up to againMost.
	againAfter = clock.Second
	againMost  = clock.Minute
)

// Config describes a scheduler.
type Config struct {
	Zone model.Zone
	Seed uint64 // of the random choice among equal candidates
}

func usable(size model.Size) model.Size {
	return model.Size{
		CPU:    size.CPU * usablePercent / 100,
		Memory: size.Memory * usablePercent / 100,
		Accel:  size.Accel,
	}
}

func prior(declared model.Size) model.Size {
	need := declared.Times(priorFactor)
	need.Accel = declared.Accel
	return need
}
