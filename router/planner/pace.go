package planner

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// Pace returns the mean times that one token and one prompt token take through all
// layers, weighted by slots; 0 if there is a layer that no runner holds.
func Pace(runners []Runner, layers identifier.Layer, version identifier.Version) (token, prompt time.Duration) {
	for l := range layers {
		slots := 0
		var tokenSum, promptSum float64
		for i := range runners {
			r := &runners[i]
			if r.Version != version || r.From > l || l >= r.To {
				continue
			}
			slots += r.Slots
			weight := float64(r.Slots) / float64(r.To-r.From)
			tokenSum += weight * float64(r.TokenTime)
			promptSum += weight * float64(r.PrefillTime)
		}
		if slots == 0 {
			return 0, 0
		}
		token += time.Duration(tokenSum / float64(slots))
		prompt += time.Duration(promptSum / float64(slots))
	}
	return token, prompt
}
