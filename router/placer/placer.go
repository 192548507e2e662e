// Package placer decides which endpoint holds which layers. It is pure.
//
// What binds a fleet is memory: the bytes that weights leave free hold the
// requests in flight. So each data centre's accelerators are dealt into as many
// copies of the model as leave each copy room for enough requests, and inside a
// copy each takes layers in proportion to its memory: then all of them run full
// at the same number of requests. Chains stay within a data centre where it
// holds a whole copy, since a prompt's activations take long between data
// centres; data centres too small for a copy share one.
package placer

import (
	"cmp"
	"math"
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

// roomWanted is how many requests of the usual size each copy of the model
// should have room for at once.
const roomWanted = 48

// Plan returns the layers that each endpoint without layers should take, beside
// what the others hold. Endpoints that hold layers are left as they are.
func Plan(e *cataloguer.Engine, endpoints []cataloguer.Endpoint) map[identifier.Life]Range {
	plan := make(map[identifier.Life]Range)
	if e.Layers <= 0 {
		return plan
	}
	for _, g := range groups(e, endpoints) {
		if g.bare() {
			g.deal(e, plan)
			continue
		}
		g.fill(e, plan)
	}
	return plan
}

// group is the endpoints of a data centre, or of several that share copies.
type group []cataloguer.Endpoint

// groups returns the endpoints that are not leaving, by data centre, in order.
// Data centres whose memory does not hold a copy with the room wanted are put
// together.
func groups(e *cataloguer.Engine, endpoints []cataloguer.Endpoint) []group {
	var names []identifier.DataCentre
	byCentre := make(map[identifier.DataCentre]group)
	for _, p := range endpoints {
		if p.Leaving || e.LayerLimit(p.Accelerator) == 0 {
			continue
		}
		if _, ok := byCentre[p.DataCentre]; !ok {
			names = append(names, p.DataCentre)
		}
		byCentre[p.DataCentre] = append(byCentre[p.DataCentre], p)
	}
	slices.Sort(names)
	var out []group
	var small group
	for _, name := range names {
		g := byCentre[name]
		g.sort(e)
		if g.copies(e) == 0 {
			small = append(small, g...)
			continue
		}
		out = append(out, g)
	}
	if len(small) > 0 {
		small.sort(e)
		out = append(out, small)
	}
	return out
}

// sort puts the largest accelerators first.
func (g group) sort(e *cataloguer.Engine) {
	slices.SortFunc(g, func(a, b cataloguer.Endpoint) int {
		return cmp.Or(
			cmp.Compare(bytesOf(e, &b), bytesOf(e, &a)),
			cmp.Compare(a.Accelerator, b.Accelerator),
			cmp.Compare(a.Endpoint, b.Endpoint),
		)
	})
}

func bytesOf(e *cataloguer.Engine, p *cataloguer.Endpoint) float64 {
	return e.Accelerators[p.Accelerator].Bytes
}

// bytes returns the memory of all of the group.
func (g group) bytes(e *cataloguer.Engine) float64 {
	sum := 0.0
	for i := range g {
		sum += bytesOf(e, &g[i])
	}
	return sum
}

// copies returns how many copies of the model leave room for the requests wanted.
func (g group) copies(e *cataloguer.Engine) int {
	weights := float64(e.Layers) * e.LayerBytes
	room := roomWanted * estimator.Usual(e) * e.ContextBytes
	return int(g.bytes(e) / (weights + room))
}

// bare reports whether no endpoint of the group holds layers.
func (g group) bare() bool {
	return !slices.ContainsFunc(g, func(p cataloguer.Endpoint) bool { return p.Holds() })
}

// deal places a group of which nobody holds anything.
func (g group) deal(e *cataloguer.Engine, plan map[identifier.Life]Range) {
	hands := make([]group, max(g.copies(e), 1))
	for _, p := range g {
		least := 0
		for i := range hands {
			if hands[i].bytes(e) < hands[least].bytes(e) {
				least = i
			}
		}
		hands[least] = append(hands[least], p)
	}
	for _, h := range hands {
		h.tile(e, plan)
	}
}

// tile lays the group's endpoints one after another over all layers, each in
// proportion to its memory.
func (g group) tile(e *cataloguer.Engine, plan map[identifier.Life]Range) {
	total := g.bytes(e)
	sum := 0.0
	end := g.lay(e, plan, func(p *cataloguer.Endpoint) identifier.Layer {
		sum += bytesOf(e, p)
		return identifier.Layer(math.Round(float64(e.Layers) * sum / total))
	})
	if end < e.Layers {
		// Memory is so short that whole layers don't divide in proportion.
		g.lay(e, plan, func(*cataloguer.Endpoint) identifier.Layer { return e.Layers })
	}
}

// lay places the group's endpoints one after another, each up to the layer that
// end says and as far as its memory goes. It returns the last layer's end.
func (g group) lay(e *cataloguer.Engine, plan map[identifier.Life]Range, end func(*cataloguer.Endpoint) identifier.Layer) identifier.Layer {
	from := identifier.Layer(0)
	for i := range g {
		to := min(end(&g[i]), from+e.LayerLimit(g[i].Accelerator))
		if to > from {
			plan[g[i].Life] = Range{
				From: from,
				To:   to,
			}
		}
		from = to
	}
	return from
}

// fill gives the endpoints that hold nothing the layers that are held least.
func (g group) fill(e *cataloguer.Engine, plan map[identifier.Life]Range) {
	room := make([]float64, e.Layers)
	for i := range g {
		if g[i].Holds() {
			cover(e, room, g[i].Accelerator, Range{
				From: g[i].From,
				To:   g[i].To,
			})
		}
	}
	for i := range g {
		if g[i].Holds() {
			continue
		}
		r := thinnest(room, g.width(e, &g[i]))
		cover(e, room, g[i].Accelerator, r)
		plan[g[i].Life] = r
	}
}

// cover adds an endpoint's room for requests to each layer that it holds.
func cover(e *cataloguer.Engine, room []float64, a cataloguer.Accelerator, r Range) {
	n := float64(estimator.Slots(e, a, r.To-r.From))
	for l := r.From; l < min(r.To, identifier.Layer(len(room))); l++ {
		room[l] += n
	}
}

// width returns the layers that an endpoint takes beside the rest of its group.
func (g group) width(e *cataloguer.Engine, p *cataloguer.Endpoint) identifier.Layer {
	copies := float64(max(g.copies(e), 1))
	w := math.Round(float64(e.Layers) * copies * bytesOf(e, p) / g.bytes(e))
	return max(min(identifier.Layer(w), e.LayerLimit(p.Accelerator)), 1)
}

// thinnest returns the stretch of w layers that has the least room: first by
// its layer with the least, then by the sum.
func thinnest(room []float64, w identifier.Layer) Range {
	best := Range{To: w}
	least, sum := math.Inf(1), math.Inf(1)
	for from := identifier.Layer(0); from+w <= identifier.Layer(len(room)); from++ {
		stretch := room[from : from+w]
		low, all := slices.Min(stretch), total(stretch)
		if low < least || (low == least && all < sum) {
			least, sum = low, all
			best = Range{
				From: from,
				To:   from + w,
			}
		}
	}
	return best
}

func total(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}
