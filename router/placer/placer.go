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

// roomLeft is how many requests of the usual size an endpoint that takes over
// layers of a neighbour must still have room for.
const roomLeft = 8

// Plan returns the layers that endpoints should hold instead of what they hold:
// those without layers take what is held least; where a copy lacks layers its
// neighbours take them over besides, and give them up again once they are held
// otherwise. A newcomer may be about to take the place of an endpoint that will
// leave: it takes only layers that are short.
func Plan(e *cataloguer.Engine, endpoints []cataloguer.Endpoint, newcomers map[identifier.Life]bool) map[identifier.Life]Range {
	plan := make(map[identifier.Life]Range)
	if e.Layers <= 0 {
		return plan
	}
	for _, g := range groups(e, endpoints) {
		if g.bare() {
			g.deal(e, plan)
			continue
		}
		g.fill(e, plan, newcomers)
		g.repair(e, plan)
		g.trim(e, plan)
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

// shortPart is below which part of the usual room of a group's layers a stretch
// is short.
const shortPart = 0.75

// fill gives each endpoint that holds nothing the stretch of layers with which
// the group has the most room, once the others have given up what they need not
// hold besides.
func (g group) fill(e *cataloguer.Engine, plan map[identifier.Life]Range, newcomers map[identifier.Life]bool) {
	for i := range g {
		if g[i].Holds() {
			continue
		}
		held := g.held(plan)
		room := g.room(e, held)
		r := g.best(e, held, i)
		if newcomers[g[i].Life] && slices.Min(room[r.From:r.To]) > shortPart*total(room)/float64(len(room)) {
			continue
		}
		plan[g[i].Life] = r
	}
}

// best returns the stretch that endpoint i should take.
func (g group) best(e *cataloguer.Engine, held []Range, i int) Range {
	w := g.width(e, &g[i])
	usual := g.usual(e, held)
	best := Range{To: w}
	least, sum := -1.0, 0.0
	for from := identifier.Layer(0); from+w <= e.Layers; from++ {
		next := slices.Clone(held)
		next[i] = Range{
			From: from,
			To:   from + w,
		}
		g.giveUp(e, next, usual, i)
		room := g.room(e, next)
		low, useful := slices.Min(room), totalBelow(room, usual*float64(max(g.copies(e), 1)))
		if low > least || (low == least && useful > sum) {
			least, sum = low, useful
			best = next[i]
		}
	}
	return best
}

// room returns for each layer how many requests its holders have room for.
func (g group) room(e *cataloguer.Engine, held []Range) []float64 {
	room := make([]float64, e.Layers)
	for i, r := range held {
		n := float64(estimator.Slots(e, g[i].Accelerator, r.To-r.From))
		for l := r.From; l < min(r.To, e.Layers); l++ {
			room[l] += n
		}
	}
	return room
}

// usual returns the room that an endpoint of the group usually has.
func (g group) usual(e *cataloguer.Engine, held []Range) float64 {
	rooms := make([]int, 0, len(g))
	for i, r := range held {
		if r.To > r.From {
			rooms = append(rooms, estimator.Slots(e, g[i].Accelerator, r.To-r.From))
		}
	}
	if len(rooms) == 0 {
		return 0
	}
	slices.Sort(rooms)
	return float64(rooms[len(rooms)/2])
}

// repair has the neighbours of layers that a copy lacks take them over.
func (g group) repair(e *cataloguer.Engine, plan map[identifier.Life]Range) {
	held := g.held(plan)
	copies := max(g.copies(e), 1)
	for from := identifier.Layer(0); from < e.Layers; from++ {
		n := holders(held, from)
		if n >= copies {
			continue
		}
		to := from
		for to < e.Layers && holders(held, to) == n {
			to++
		}
		g.bridge(e, plan, held, Range{
			From: from,
			To:   to,
		})
		from = to - 1
	}
}

// trim has endpoints with little room give up what enough others hold.
func (g group) trim(e *cataloguer.Engine, plan map[identifier.Life]Range) {
	held := g.held(plan)
	before := slices.Clone(held)
	g.giveUp(e, held, g.usual(e, held), -1)
	for i, r := range held {
		if _, planned := plan[g[i].Life]; !planned && r != before[i] {
			plan[g[i].Life] = r
		}
	}
}

// giveUp takes from endpoints with less than the usual room, all but the one at
// keep, the layers at their edges that enough others hold.
func (g group) giveUp(e *cataloguer.Engine, held []Range, usual float64, keep int) {
	copies := max(g.copies(e), 1)
	for i, r := range held {
		if i == keep || r.To == r.From || float64(estimator.Slots(e, g[i].Accelerator, r.To-r.From)) > shortPart*usual {
			continue
		}
		for r.To-r.From > 1 && holders(held, r.From) > copies {
			r.From++
			held[i] = r
		}
		for r.To-r.From > 1 && holders(held, r.To-1) > copies {
			r.To--
			held[i] = r
		}
	}
}

// held returns what each endpoint holds or is to hold.
func (g group) held(plan map[identifier.Life]Range) []Range {
	held := make([]Range, len(g))
	for i := range g {
		held[i] = Range{
			From: g[i].From,
			To:   g[i].To,
		}
		if r, ok := plan[g[i].Life]; ok {
			held[i] = r
		}
	}
	return held
}

// holders returns how many endpoints hold a layer.
func holders(held []Range, l identifier.Layer) int {
	n := 0
	for _, r := range held {
		if r.From <= l && l < r.To {
			n++
		}
	}
	return n
}

// bridge gives the layers of a hole, one after another, to the neighbour on
// either side that keeps more room for requests.
func (g group) bridge(e *cataloguer.Engine, plan map[identifier.Life]Range, held []Range, hole Range) {
	left := g.neighbour(e, held, func(r Range) bool { return r.To == hole.From && r.To > r.From })
	right := g.neighbour(e, held, func(r Range) bool { return r.From == hole.To && r.To > r.From })
	for hole.From < hole.To {
		leftRoom := g.roomAfter(e, held, left)
		rightRoom := g.roomAfter(e, held, right)
		switch {
		case max(leftRoom, rightRoom) < roomLeft:
			return
		case leftRoom >= rightRoom:
			held[left].To++
			hole.From++
			plan[g[left].Life] = held[left]
		default:
			held[right].From--
			hole.To--
			plan[g[right].Life] = held[right]
		}
	}
}

// neighbour returns the index of the endpoint that f wants and that keeps the
// most room with one more layer; -1 if there is none.
func (g group) neighbour(e *cataloguer.Engine, held []Range, f func(Range) bool) int {
	best := -1
	for i := range g {
		if f(held[i]) && (best < 0 || g.roomAfter(e, held, i) > g.roomAfter(e, held, best)) {
			best = i
		}
	}
	return best
}

// roomAfter returns the requests that endpoint i has room for with one more layer.
func (g group) roomAfter(e *cataloguer.Engine, held []Range, i int) int {
	if i < 0 {
		return -1
	}
	n := held[i].To - held[i].From + 1
	if n > e.LayerLimit(g[i].Accelerator) {
		return -1
	}
	return estimator.Slots(e, g[i].Accelerator, n)
}

// width returns the layers that an endpoint takes beside the rest of its group.
func (g group) width(e *cataloguer.Engine, p *cataloguer.Endpoint) identifier.Layer {
	copies := float64(max(g.copies(e), 1))
	w := math.Round(float64(e.Layers) * copies * bytesOf(e, p) / g.bytes(e))
	return max(min(identifier.Layer(w), e.LayerLimit(p.Accelerator)), 1)
}

func total(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}

// totalBelow sums values, each up to a bound.
func totalBelow(values []float64, bound float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += min(v, bound)
	}
	return sum
}
