package planner

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// Capacity estimates the throughput of runners together, in tokens per second
// with all slots in use: the number of concurrent streams divided by the mean
// time of a token through all layers. A stream occupies a slot in every stage, so
// the layer with the fewest slots limits the number of streams. Capacity returns
// 0 if there is a layer that no runner holds.
func Capacity(runners []Runner, layers identifier.Layer, version identifier.Version) float64 {
	streams := -1
	tokenTime := time.Duration(0)
	for l := range layers {
		slots, layerTime := layerCapacity(runners, l, version)
		if slots == 0 {
			return 0
		}
		tokenTime += layerTime
		if streams < 0 || slots < streams {
			streams = slots
		}
	}
	if layers == 0 {
		return 0
	}
	return float64(streams) / max(tokenTime, time.Microsecond).Seconds()
}

// layerCapacity returns the total slots of the runners that hold layer l, and
// their mean time per token for that layer, weighted by slots.
func layerCapacity(runners []Runner, l identifier.Layer, version identifier.Version) (int, time.Duration) {
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
