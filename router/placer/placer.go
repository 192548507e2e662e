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
	centreGroups := groupsOf(e, endpoints)
	groups := coverages(e, endpoints, centreGroups)
	fleet := fleetCoverage(e, endpoints)
	var empty []cataloguer.Endpoint
	for _, endpoint := range endpoints {
		if !endpoint.Leaving && !endpoint.HoldsLayers() {
			empty = append(empty, endpoint)
		}
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
		r := c.leastCovered(count, fleet)
		c.add(e, endpoint.Accelerator, r)
		fleet.add(e, endpoint.Accelerator, r)
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

// coverages returns the coverage of each group, without endpoints that are leaving.
// centreGroups gives the group of each data centre.
func coverages(e *cataloguer.Engine, endpoints []cataloguer.Endpoint, centreGroups map[identifier.DataCentre]identifier.DataCentre) map[identifier.DataCentre]*coverage {
	groups := make(map[identifier.DataCentre]*coverage)
	for _, endpoint := range endpoints {
		coverageOf(groups, centreGroups[endpoint.DataCentre], e).addEndpoint(e, endpoint)
	}
	return groups
}

// fleetCoverage returns the coverage of all endpoints together, without those that are
// leaving.
func fleetCoverage(e *cataloguer.Engine, endpoints []cataloguer.Endpoint) *coverage {
	c := newCoverage(e)
	for _, endpoint := range endpoints {
		c.addEndpoint(e, endpoint)
	}
	return c
}

// newCoverage returns the coverage of no endpoints.
func newCoverage(e *cataloguer.Engine) *coverage {
	return &coverage{slots: make([]float64, e.Layers)}
}

// coverageOf returns the coverage of a group, which it creates if there is none.
func coverageOf(groups map[identifier.DataCentre]*coverage, group identifier.DataCentre, e *cataloguer.Engine) *coverage {
	c, ok := groups[group]
	if !ok {
		c = newCoverage(e)
		groups[group] = c
	}
	return c
}

// addEndpoint adds the layers that an endpoint holds, unless it is leaving.
func (c *coverage) addEndpoint(e *cataloguer.Engine, endpoint cataloguer.Endpoint) {
	if endpoint.Leaving || !endpoint.HoldsLayers() {
		return
	}
	c.add(e, endpoint.Accelerator, Range{
		From: endpoint.From,
		To:   endpoint.To,
	})
}

// add adds to each layer of r the requests that an endpoint can run at once.
func (c *coverage) add(e *cataloguer.Engine, a cataloguer.Accelerator, r Range) {
	n := float64(estimator.Slots(e, a, r.To-r.From))
	for l := r.From; l < min(r.To, identifier.Layer(len(c.slots))); l++ {
		c.slots[l] += n
	}
}

// leastCovered returns the range of count layers, aligned to the grid, that has the
// least coverage; of several, the one with the least coverage in the fleet, so that
// groups don't all give the same layers to their one large endpoint. The last range is
// shifted to end at the last layer.
func (c *coverage) leastCovered(count identifier.Layer, fleet *coverage) Range {
	layers := identifier.Layer(len(c.slots))
	best := Range{}
	for from := identifier.Layer(0); from < layers; from += count {
		to := min(from+count, layers)
		r := Range{
			From: to - min(count, to),
			To:   to,
		}
		if best.To == 0 || cmp.Or(cmp.Compare(c.sum(r), c.sum(best)), cmp.Compare(fleet.sum(r), fleet.sum(best))) < 0 {
			best = r
		}
	}
	return best
}

// sum returns the sum of the coverage of the layers of r.
func (c *coverage) sum(r Range) float64 {
	sum := 0.0
	for l := r.From; l < r.To; l++ {
		sum += c.slots[l]
	}
	return sum
}
