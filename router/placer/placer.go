// Package placer decides which endpoint holds which layers. It has no side effects.
//
// Layers are placed in ranges that are aligned to a grid, so that an endpoint that
// fails can be replaced by another, or by two smaller ones, that hold the same
// range. Chains are kept within a data centre if its accelerators hold the whole
// model, since a prompt's activations take long to transfer between data centres.
package placer

import (
	"cmp"
	"slices"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/estimator"
)

// Range is layers [From, To).
type Range struct {
	From identifier.Layer
	To   identifier.Layer
}

// Plan returns the layers that each endpoint without layers should load, given
// what the others hold. Endpoints that hold layers keep them.
func Plan(e *cataloguer.Engine, endpoints []cataloguer.Endpoint) map[identifier.EndpointIncarnation]Range {
	plan := make(map[identifier.EndpointIncarnation]Range)
	if e.Layers <= 0 {
		return plan
	}
	groups := make(map[identifier.DataCentre]*coverage)
	centreGroups := groupsOf(e, endpoints)
	var empty []cataloguer.Endpoint
	for _, endpoint := range endpoints {
		if endpoint.Leaving {
			continue
		}
		if endpoint.HoldsLayers() {
			coverageOf(groups, centreGroups[endpoint.DataCentre], e).add(e, endpoint.Accelerator, Range{From: endpoint.From, To: endpoint.To})
			continue
		}
		empty = append(empty, endpoint)
	}
	slices.SortFunc(empty, func(a, b cataloguer.Endpoint) int {
		return cmp.Or(
			cmp.Compare(layerCount(e, b.Accelerator), layerCount(e, a.Accelerator)),
			cmp.Compare(a.Accelerator, b.Accelerator),
			cmp.Compare(a.Endpoint, b.Endpoint),
		)
	})
	for _, endpoint := range empty {
		count := layerCount(e, endpoint.Accelerator)
		if count == 0 {
			continue
		}
		c := coverageOf(groups, centreGroups[endpoint.DataCentre], e)
		r := c.leastCovered(count)
		c.add(e, endpoint.Accelerator, r)
		plan[endpoint.EndpointIncarnation] = r
	}
	return plan
}

// partCounts are the numbers of parts into which the model may be divided; an
// endpoint holds one part. The largest parts come first, and each part consists of
// two parts of the next division.
var partCounts = []identifier.Layer{2, 4, 8, 16, 32}

// minSlots is how many requests of the usual size should fit in an endpoint's
// memory in addition to its layers.
const minSlots = 24

// layerCount returns how many layers an accelerator should hold: the largest part
// of the model that leaves enough memory for requests. If none does, it returns the
// smallest part, or as many of its layers as fit in memory, possibly 0.
func layerCount(e *cataloguer.Engine, a cataloguer.Accelerator) identifier.Layer {
	limit := e.LayerLimit(a)
	for _, parts := range partCounts {
		count := (e.Layers + parts - 1) / parts
		if count <= limit && estimator.Slots(e, a, count) >= minSlots {
			return count
		}
	}
	return min(limit, (e.Layers+partCounts[len(partCounts)-1]-1)/partCounts[len(partCounts)-1])
}

// groupsOf returns the group of each data centre, within which its endpoints form
// complete copies of the model. A data centre whose endpoints can hold all layers
// together is a group of its own; all other data centres form one group, named "".
func groupsOf(e *cataloguer.Engine, endpoints []cataloguer.Endpoint) map[identifier.DataCentre]identifier.DataCentre {
	layerCounts := make(map[identifier.DataCentre]identifier.Layer)
	for _, endpoint := range endpoints {
		if !endpoint.Leaving {
			layerCounts[endpoint.DataCentre] += layerCount(e, endpoint.Accelerator)
		}
	}
	centreGroups := make(map[identifier.DataCentre]identifier.DataCentre)
	for d, count := range layerCounts {
		if count >= e.Layers {
			centreGroups[d] = d
		}
	}
	return centreGroups
}

// coverage is how many requests at once the endpoints of a group can run through
// each layer.
type coverage struct {
	slots []float64
}

// coverageOf returns the coverage of a group, which it creates if there is none.
func coverageOf(groups map[identifier.DataCentre]*coverage, group identifier.DataCentre, e *cataloguer.Engine) *coverage {
	c, ok := groups[group]
	if !ok {
		c = &coverage{slots: make([]float64, e.Layers)}
		groups[group] = c
	}
	return c
}

// add adds to each layer of r the requests that an endpoint can run at once.
func (c *coverage) add(e *cataloguer.Engine, a cataloguer.Accelerator, r Range) {
	n := float64(estimator.Slots(e, a, r.To-r.From))
	for l := r.From; l < min(r.To, identifier.Layer(len(c.slots))); l++ {
		c.slots[l] += n
	}
}

// leastCovered returns the range of count layers, aligned to the grid, that has
// the least coverage. The last range is shifted to end at the last layer.
func (c *coverage) leastCovered(count identifier.Layer) Range {
	layers := identifier.Layer(len(c.slots))
	best := Range{}
	leastSum := -1.0
	for from := identifier.Layer(0); from < layers; from += count {
		to := min(from+count, layers)
		sum := 0.0
		for l := to - min(count, to); l < to; l++ {
			sum += c.slots[l]
		}
		if leastSum < 0 || sum < leastSum {
			leastSum = sum
			best = Range{
				From: to - min(count, to),
				To:   to,
			}
		}
	}
	return best
}
