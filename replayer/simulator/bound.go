package simulator

import (
	"sort"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
)

// Bound returns the most output tokens a second that runners can make, when an
// output token brings ratio prompt tokens with it and links cost nothing. The
// runners must hold the same ranges, one beside the other.
//
// A stream holds a slot of each stage and makes 1/(t1+t2+...) tokens a second.
// That function has increasing differences, so of all ways to split the slots
// into chains the best joins fast with fast and slow with slow: slots of each
// range sorted by speed, the first of each range with the first of the others.
func Bound(runners []planner.Runner, ratio float64) float64 {
	ranges := make(map[identifier.Layer][]float64)
	for i := range runners {
		r := &runners[i]
		for range r.Slots {
			ranges[r.From] = append(ranges[r.From], r.TokenTime.Seconds()+ratio*r.PrefillTime.Seconds())
		}
	}
	least := -1
	for _, times := range ranges {
		sort.Float64s(times)
		if least < 0 || len(times) < least {
			least = len(times)
		}
	}
	sum := 0.0
	for i := range least {
		token := 0.0
		for _, times := range ranges {
			token += times[i]
		}
		sum += 1 / token
	}
	return sum
}
