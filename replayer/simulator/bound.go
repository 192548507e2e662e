package simulator

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
)

// group is the endpoints of one range, data centre and speed: chains through
// any of them are alike.
type group struct {
	from   identifier.Layer
	centre identifier.DataCentre
	token  time.Duration
	read   time.Duration
}

// Bound returns the most output tokens a second that runners can make with all
// slots in use, over links as they are, when an output token brings ratio prompt
// tokens with it. The runners must hold the same ranges, one beside the other;
// callers' tokens start at entry.
//
// A stream holds a slot of each stage and makes 1/(stages' times + hops) tokens a
// second. The streams of each kind of chain that give the most tokens, with no
// group of endpoints over its slots, are a linear program; parts of streams are
// allowed, so no way of splitting the slots into chains makes more.
func Bound(runners []planner.Runner, links planner.Links, entry identifier.DataCentre, ratio float64) (float64, error) {
	groups, slots := grouped(runners)
	var chains [][]int
	var rates []float64
	for _, c := range chainsOf(groups) {
		chains = append(chains, c)
		rates = append(rates, 1/tokenTime(groups, c, links, entry, ratio).Seconds())
	}
	if len(chains) == 0 {
		return 0, nil
	}
	return most(chains, rates, slots)
}

// grouped returns the groups with a slot, and how many each has.
func grouped(runners []planner.Runner) ([]group, []float64) {
	var groups []group
	var slots []float64
	for i := range runners {
		r := &runners[i]
		if r.Slots == 0 {
			continue
		}
		g := group{
			from:   r.From,
			centre: r.DataCentre,
			token:  r.TokenTime,
			read:   r.PrefillTime,
		}
		at := slices.Index(groups, g)
		if at < 0 {
			at = len(groups)
			groups = append(groups, g)
			slots = append(slots, 0)
		}
		slots[at] += float64(r.Slots)
	}
	return groups, slots
}

// chainsOf returns every choice of one group for each range, in the ranges' order.
func chainsOf(groups []group) [][]int {
	var ranges []identifier.Layer
	for _, g := range groups {
		if !slices.Contains(ranges, g.from) {
			ranges = append(ranges, g.from)
		}
	}
	slices.Sort(ranges)
	chains := [][]int{nil}
	for _, from := range ranges {
		var longer [][]int
		for _, c := range chains {
			for i, g := range groups {
				if g.from == from {
					longer = append(longer, append(slices.Clone(c), i))
				}
			}
		}
		chains = longer
	}
	if len(ranges) == 0 {
		return nil
	}
	return chains
}

// tokenTime returns the time of one token on a chain, its part of the prompts
// included.
func tokenTime(groups []group, chain []int, links planner.Links, entry identifier.DataCentre, ratio float64) time.Duration {
	total := time.Duration(0)
	at := entry
	for _, i := range chain {
		g := groups[i]
		total += g.token + time.Duration(ratio*float64(g.read)) + links.Delay(at, g.centre)
		at = g.centre
	}
	return total
}

// tolerance is how exactly the linear program is solved.
const tolerance = 1e-9

// most returns the greatest sum of rates over streams of the chains that keeps
// each group within its slots.
func most(chains [][]int, rates, slots []float64) (float64, error) {
	cost := make([]float64, len(chains)+len(slots))
	constraints := mat.NewDense(len(slots), len(cost), nil)
	for c, chain := range chains {
		cost[c] = -rates[c]
		for _, g := range chain {
			constraints.Set(g, c, 1)
		}
	}
	basis := make([]int, len(slots))
	for g := range slots {
		constraints.Set(g, len(chains)+g, 1)
		basis[g] = len(chains) + g
	}
	least, _, err := lp.Simplex(cost, constraints, slots, tolerance, basis)
	return -least, errors.Wrap(err, "bound of the fleet")
}
