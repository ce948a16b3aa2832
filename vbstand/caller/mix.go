package caller

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"vanillabridge/core/model"
)

// Mix holds the relative weight of each urgency class among the requests, indexed by class.
type Mix [model.Urgent + 1]int

// ParseMix parses a mix such as "low=1,urgent=3". A class without a weight has weight 1.
func ParseMix(text string) (Mix, error) {
	var mix Mix
	total := 0
	for _, part := range strings.Split(text, ",") {
		name, weight, _ := strings.Cut(part, "=")
		class, err := model.ParseUrgency(name)
		if err != nil {
			return Mix{}, fmt.Errorf("parse mix %q: %w", text, err)
		}
		n := 1
		if weight != "" {
			if n, err = strconv.Atoi(weight); err != nil || n < 0 {
				return Mix{}, fmt.Errorf("parse mix %q: weight %q is not a non-negative integer", text, weight)
			}
		}
		mix[class] += n
		total += n
	}
	if total == 0 {
		return Mix{}, fmt.Errorf("parse mix %q: all weights are 0", text)
	}
	return mix, nil
}

// randomClass draws a class with the probabilities given by the weights.
func (m Mix) randomClass(rng *rand.Rand) model.Urgency {
	total := 0
	for _, n := range m {
		total += n
	}
	x := rng.IntN(total)
	for class, n := range m {
		if x -= n; x < 0 {
			return model.Urgency(class)
		}
	}
	return model.Normal
}
