package planner

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// Capacity estimates how many tokens a second runners make together with all
// slots in use: the streams that fit, over the mean time of a token through all
// layers. A stream holds a slot of every stage, so the layer with the fewest
// slots says how many fit. It is 0 if a layer has no holder.
func Capacity(runners []Runner, layers identifier.Layer, version identifier.Version) float64 {
	streams := -1
	token := time.Duration(0)
	for l := range layers {
		slots, each := layer(runners, l, version)
		if slots == 0 {
			return 0
		}
		token += each
		if streams < 0 || slots < streams {
			streams = slots
		}
	}
	if layers == 0 {
		return 0
	}
	return float64(streams) / max(token, time.Microsecond).Seconds()
}

// layer returns the slots of a layer's holders and their mean time for it.
func layer(runners []Runner, l identifier.Layer, version identifier.Version) (int, time.Duration) {
	slots := 0
	sum := time.Duration(0)
	for i := range runners {
		r := &runners[i]
		if r.Version == version && r.From <= l && l < r.To {
			slots += r.Slots
			sum += time.Duration(r.Slots) * r.TokenTime / time.Duration(r.To-r.From)
		}
	}
	if slots == 0 {
		return 0, 0
	}
	return slots, sum / time.Duration(slots)
}
