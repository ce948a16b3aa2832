package expect

import (
	"math/bits"

	"vanillabridge/core/clock"
)

// octave is the unit of logarithms to base 2 in fixed-point arithmetic: a factor of 2.
const octave = 256

// roots holds 2^(1/2), 2^(1/4), ... 2^(1/256) as multiples of 2^-31.
var roots = [...]uint64{0xb504f334, 0x9837f052, 0x8b95c1e4, 0x85aac368, 0x82cd8699, 0x8164d1f4, 0x80b1ed50, 0x8058d7d3}

// one is the number 1 as a multiple of 2^-31.
const one = 1 << 31

// maxLog is the logarithm above which exp2 saturates: run times of some 24 days.
const maxLog = 31 * octave

// log2 returns the logarithm of a time in milliseconds, rounded down; times below 1 ms count as 1 ms.
func log2(t clock.Millis) int64 {
	v := uint64(min(max(t, 1), 1<<31))
	exponent := bits.Len64(v) - 1
	m := v << (31 - exponent)
	result := int64(exponent)
	for range len(roots) {
		m = m * m >> 31
		result <<= 1
		if m >= 2*one {
			m >>= 1
			result |= 1
		}
	}
	return result
}

// exp2 returns the time in milliseconds with a logarithm, rounded to the nearest.
func exp2(v int64) clock.Millis {
	v = min(max(v, 0), maxLog)
	m := uint64(one)
	for i, root := range roots {
		if v>>(len(roots)-1-i)&1 == 1 {
			m = m * root >> 31
		}
	}
	return clock.Millis((m<<(v/octave) + one/2) >> 31)
}

// codeStep is the resolution of a run time in the log of commands: a factor of 2^(1/16), about 4%.
const codeStep = octave / 16

// Code returns the short form of a run time in the log of commands.
func Code(t clock.Millis) uint16 { return uint16((log2(t) + codeStep/2) / codeStep) }

// Decoded returns the run time that a short form stands for.
func Decoded(code uint16) clock.Millis { return exp2(int64(code) * codeStep) }
