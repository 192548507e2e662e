package placer

import (
	"math"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/estimator"
)

// Move is an endpoint that should give its layers up for others.
type Move struct {
	Endpoint cataloguer.Endpoint
	Layers   Range
}

// gain is what a move brings: layers that get a first holder, and how much room
// others leave for the requests through the layers that are given up.
type gain struct {
	layers identifier.Layer
	left   float64
}

func (g gain) less(o gain) bool {
	if g.layers != o.layers {
		return g.layers < o.layers
	}
	return g.left < o.left
}

// Rebalance returns the move that mends most of what nobody in a data centre
// holds; ok is false if there is none. An endpoint moves only if others hold each
// of its layers, since it serves nobody while it loads, and only for a stretch of
// which nobody holds the larger part.
func Rebalance(e *cataloguer.Engine, endpoints []cataloguer.Endpoint) (m Move, ok bool) {
	if e.Layers <= 0 {
		return Move{}, false
	}
	home := homes(e, endpoints)
	groups := covered(e, endpoints, home)
	var most gain
	for _, p := range endpoints {
		if p.Leaving || !p.Holds() {
			continue
		}
		r, g := groups[home[p.DataCentre]].move(e, p)
		if most.less(g) {
			most = g
			m = Move{
				Endpoint: p,
				Layers:   r,
			}
		}
	}
	return m, most.layers > 0
}

// covered returns what the endpoints that stay hold, by where they complete
// copies of the model.
func covered(e *cataloguer.Engine, endpoints []cataloguer.Endpoint, home map[identifier.DataCentre]identifier.DataCentre) map[identifier.DataCentre]*coverage {
	groups := make(map[identifier.DataCentre]*coverage)
	for _, p := range endpoints {
		if !p.Leaving && p.Holds() {
			groupOf(groups, home[p.DataCentre], e).add(e, p.Accelerator, Range{
				From: p.From,
				To:   p.To,
			})
		}
	}
	return groups
}

// move returns the stretch that an endpoint had better hold and what that
// brings; nothing if it had better stay.
func (c *coverage) move(e *cataloguer.Engine, p cataloguer.Endpoint) (Range, gain) {
	w := width(e, p.Accelerator)
	own := float64(estimator.Slots(e, p.Accelerator, p.To-p.From))
	left := math.Inf(1)
	for l := p.From; l < min(p.To, e.Layers); l++ {
		left = min(left, c.rate[l]-own)
	}
	if w == 0 || left <= 0 {
		return Range{}, gain{}
	}
	r := c.thinnest(w)
	unheld := identifier.Layer(0)
	for l := r.From; l < r.To; l++ {
		if c.rate[l] == 0 {
			unheld++
		}
	}
	if 2*unheld <= w {
		return Range{}, gain{}
	}
	return r, gain{
		layers: unheld,
		left:   left,
	}
}
