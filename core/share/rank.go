package share

// Rank orders those who want capacity: those below their floor come before the others.
type Rank struct {
	aboveFloor bool
	ratio      float64
}

// BelowFloor returns the rank of one below its floor; a lower ratio comes first.
func BelowFloor(ratio float64) Rank { return Rank{ratio: ratio} }

// AboveFloor returns the rank of one at or above its floor; a lower ratio comes first.
func AboveFloor(ratio float64) Rank { return Rank{aboveFloor: true, ratio: ratio} }

// RankOf ranks one that holds a share of the capacity: relative to its floor if below it, else relative to its weight.
func RankOf(held, floor, weight float64) Rank {
	if held < floor {
		return BelowFloor(held / floor)
	}
	return AboveFloor(held / weight)
}

// Before reports whether a comes before b.
func (a Rank) Before(b Rank) bool {
	if a.aboveFloor != b.aboveFloor {
		return b.aboveFloor
	}
	return a.ratio < b.ratio
}
