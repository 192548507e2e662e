package planner

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// Bound returns the most tokens a second that runners can make together: the
// least, over all layers, of what the holders of that layer can run. It is an
// upper bound, reached by the best split when links cost nothing.
func Bound(runners []Runner, layers identifier.Layer, version identifier.Version) float64 {
	least := -1.0
	for l := range layers {
		rate := 0.0
		for i := range runners {
			r := &runners[i]
			if r.Version == version && r.From <= l && l < r.To {
				rate += Rate(r)
			}
		}
		if least < 0 || rate < least {
			least = rate
		}
	}
	return max(least, 0)
}

// Rate returns how many tokens a second r makes with all slots in use.
func Rate(r *Runner) float64 {
	if r.TokenTime <= 0 {
		return float64(r.Slots) * float64(time.Second/time.Microsecond)
	}
	return float64(r.Slots) / r.TokenTime.Seconds()
}
