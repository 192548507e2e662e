package placer

import (
	"math"
	"slices"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/estimator"
)

// Move is an endpoint and the layers that it should load in place of its own.
type Move struct {
	Endpoint cataloguer.Endpoint
	Layers   Range
}

// gain is the benefit of a move: the number of layers that get their first holder
// and, to compare moves with the same number, how many requests the other endpoints
// can still run at once through every layer that is given up.
type gain struct {
	uncovered identifier.Layer
	remaining float64
}

func (g gain) less(o gain) bool {
	if g.uncovered != o.uncovered {
		return g.uncovered < o.uncovered
	}
	return g.remaining < o.remaining
}

// Rebalance returns the move that covers the most layers that no endpoint of the
// same group of data centres holds; ok is false if there is none. An endpoint moves
// only if others of its group hold each of its layers, since it serves no requests
// while it loads, and only to a range of which more than half of the layers have no
// holder.
func Rebalance(e *cataloguer.Engine, endpoints []cataloguer.Endpoint) (m Move, ok bool) {
	if e.Layers <= 0 {
		return Move{}, false
	}
	centreGroups := groupsOf(e, endpoints)
	groups := coverages(e, endpoints, centreGroups)
	fleet := fleetCoverage(e, endpoints)
	var best gain
	for _, endpoint := range endpoints {
		if endpoint.Leaving || !endpoint.HoldsLayers() {
			continue
		}
		r, g := groups[centreGroups[endpoint.DataCentre]].bestMove(e, endpoint, fleet)
		if best.less(g) {
			best = g
			m = Move{
				Endpoint: endpoint,
				Layers:   r,
			}
		}
	}
	return m, best.uncovered > 0
}

// Covers reports whether each layer is held by an endpoint that is not leaving.
func Covers(e *cataloguer.Engine, endpoints []cataloguer.Endpoint) bool {
	return !slices.Contains(fleetCoverage(e, endpoints).slots, 0)
}

// bestMove returns the range that an endpoint should hold in place of its own, and
// the gain; both are zero if it should keep its layers.
func (c *coverage) bestMove(e *cataloguer.Engine, endpoint cataloguer.Endpoint, fleet *coverage) (Range, gain) {
	count := layerCount(e, endpoint.Accelerator)
	ownSlots := float64(estimator.Slots(e, endpoint.Accelerator, endpoint.To-endpoint.From))
	remaining := math.Inf(1)
	for l := endpoint.From; l < min(endpoint.To, e.Layers); l++ {
		remaining = min(remaining, c.slots[l]-ownSlots)
	}
	if count == 0 || remaining <= 0 {
		return Range{}, gain{}
	}
	r := c.leastCovered(count, fleet)
	uncovered := identifier.Layer(0)
	for l := r.From; l < r.To; l++ {
		if c.slots[l] == 0 {
			uncovered++
		}
	}
	if 2*uncovered <= count {
		return Range{}, gain{}
	}
	return r, gain{
		uncovered: uncovered,
		remaining: remaining,
	}
}
