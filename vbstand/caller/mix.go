package caller

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"vanillabridge/core/model"
)

// Mix holds the weight of each class among the requests.
type Mix [model.Urgent + 1]int

// ParseMix reads a mix such as "low=1,urgent=3".
func ParseMix(text string) (Mix, error) {
	var mix Mix
	total := 0
	for _, part := range strings.Split(text, ",") {
		name, weight, _ := strings.Cut(part, "=")
		class, err := model.ParseUrgency(name)
		if err != nil {
			return Mix{}, fmt.Errorf("mix %q: %w", text, err)
		}
		n := 1
		if weight != "" {
			if n, err = strconv.Atoi(weight); err != nil || n < 0 {
				return Mix{}, fmt.Errorf("mix %q: weight %q is no number of at least 0", text, weight)
			}
		}
		mix[class] += n
		total += n
	}
	if total == 0 {
		return Mix{}, fmt.Errorf("mix %q: all weights are 0", text)
	}
	return mix, nil
}

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
