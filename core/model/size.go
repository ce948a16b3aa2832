package model

import "fmt"

type (
	// Millicores is an amount of CPU in thousandths of a core.
	Millicores int64
	// Mebibytes is an amount of memory in MiB.
	Mebibytes int64
	// Accelerators is a number of accelerators.
	Accelerators int64
)

// Size is an amount of each resource that a task needs or a worker has.
type Size struct {
	CPU    Millicores   `json:"cpu" cbor:"1,keyasint"`
	Memory Mebibytes    `json:"memory" cbor:"2,keyasint"`
	Accel  Accelerators `json:"accel,omitempty" cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{CPU: s.CPU + o.CPU, Memory: s.Memory + o.Memory, Accel: s.Accel + o.Accel}
}

// Minus returns s minus o; a resource may become negative.
func (s Size) Minus(o Size) Size {
	return Size{CPU: s.CPU - o.CPU, Memory: s.Memory - o.Memory, Accel: s.Accel - o.Accel}
}

// Times returns n times s.
func (s Size) Times(n int64) Size {
	return Size{CPU: s.CPU * Millicores(n), Memory: s.Memory * Mebibytes(n), Accel: s.Accel * Accelerators(n)}
}

// Percent returns p percent of the CPU and memory of s, rounded up. Accelerators are whole
// devices, so their number is not scaled.
func (s Size) Percent(p int64) Size {
	return Size{
		CPU:    Millicores((int64(s.CPU)*p + 99) / 100),
		Memory: Mebibytes((int64(s.Memory)*p + 99) / 100),
		Accel:  s.Accel,
	}
}

// Max returns the maximum of s and o for each resource.
func (s Size) Max(o Size) Size {
	return Size{CPU: max(s.CPU, o.CPU), Memory: max(s.Memory, o.Memory), Accel: max(s.Accel, o.Accel)}
}

// FitsIn reports whether s is at most free in every resource.
func (s Size) FitsIn(free Size) bool {
	return s.CPU <= free.CPU && s.Memory <= free.Memory && s.Accel <= free.Accel
}

// IsZero reports whether s is zero in every resource.
func (s Size) IsZero() bool { return s == Size{} }

// DominantShare returns the dominant share of s: the largest fraction of total that s takes of any
// resource.
func (s Size) DominantShare(total Size) float64 {
	return max(ratio(int64(s.CPU), int64(total.CPU)),
		ratio(int64(s.Memory), int64(total.Memory)),
		ratio(int64(s.Accel), int64(total.Accel)))
}

// String formats the size as "1000m 512Mi", followed by the accelerators if there are any.
func (s Size) String() string {
	text := fmt.Sprintf("%dm %dMi", s.CPU, s.Memory)
	if s.Accel != 0 {
		text += fmt.Sprintf(" %d accel", s.Accel)
	}
	return text
}

func ratio(part, whole int64) float64 {
	if part == 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
