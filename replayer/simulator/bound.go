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

// group identifies the endpoints that have the same range, data centre and speed.
// They are interchangeable in a chain.
type group struct {
	from        identifier.Layer
	dataCentre  identifier.DataCentre
	tokenTime   time.Duration
	prefillTime time.Duration
}

// Bound returns an upper bound on the output tokens per second that runners can
// generate with all slots in use, if there are promptRatio prompt tokens for each
// output token and none of them is cached. The runners must share one partition of
// the layers into adjacent ranges. Each token enters the first stage from the data
// centre entry.
//
// A stream occupies one slot of each stage of its chain and generates
// 1/(sum of the stages' times and the link delays) tokens per second. The number
// of streams on each kind of chain that maximizes the tokens per second, with no
// group of endpoints over its slots, is the solution of a linear program. The
// program allows fractions of streams, so no assignment of slots to chains
// exceeds the bound.
func Bound(runners []planner.Runner, links planner.Links, entry identifier.DataCentre, promptRatio float64) (float64, error) {
	groups, slots := groupRunners(runners)
	var chains [][]int
	var rates []float64
	for _, c := range allChains(groups) {
		chains = append(chains, c)
		rates = append(rates, 1/tokenTime(groups, c, links, entry, promptRatio).Seconds())
	}
	if len(chains) == 0 {
		return 0, nil
	}
	return maxTokenRate(chains, rates, slots)
}

// groupRunners returns the groups that have slots, and the number of slots of each.
func groupRunners(runners []planner.Runner) ([]group, []float64) {
	var groups []group
	var slots []float64
	for i := range runners {
		r := &runners[i]
		if r.Slots == 0 {
			continue
		}
		g := group{
			from:        r.From,
			dataCentre:  r.DataCentre,
			tokenTime:   r.TokenTime,
			prefillTime: r.PrefillTime,
		}
		index := slices.Index(groups, g)
		if index < 0 {
			index = len(groups)
			groups = append(groups, g)
			slots = append(slots, 0)
		}
		slots[index] += float64(r.Slots)
	}
	return groups, slots
}

// allChains returns every combination of one group for each range that occurs in
// groups, as indexes of groups in the order of the ranges.
func allChains(groups []group) [][]int {
	var starts []identifier.Layer
	for _, g := range groups {
		if !slices.Contains(starts, g.from) {
			starts = append(starts, g.from)
		}
	}
	slices.Sort(starts)
	chains := [][]int{nil}
	for _, from := range starts {
		var extended [][]int
		for _, c := range chains {
			for i, g := range groups {
				if g.from == from {
					extended = append(extended, append(slices.Clone(c), i))
				}
			}
		}
		chains = extended
	}
	if len(starts) == 0 {
		return nil
	}
	return chains
}

// tokenTime returns the time of one output token on a chain, including the time of
// promptRatio prompt tokens.
func tokenTime(groups []group, chain []int, links planner.Links, entry identifier.DataCentre, promptRatio float64) time.Duration {
	total := time.Duration(0)
	dataCentre := entry
	for _, i := range chain {
		g := groups[i]
		total += g.tokenTime + time.Duration(promptRatio*float64(g.prefillTime)) + links.Delay(dataCentre, g.dataCentre)
		dataCentre = g.dataCentre
	}
	return total
}

// tolerance is the numerical tolerance of the linear program's solver.
const tolerance = 1e-9

// maxTokenRate returns the maximum total rate of streams on the chains, with each
// group within its slots. rates holds the rate of one stream on each chain. The
// variables are the streams on each chain, then the unused slots of each group.
func maxTokenRate(chains [][]int, rates, slots []float64) (float64, error) {
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
	minCost, _, err := lp.Simplex(cost, constraints, slots, tolerance, basis)
	return -minCost, errors.Wrap(err, "solve linear program for the fleet's bound")
}
