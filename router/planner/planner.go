// Package planner chooses chains: which endpoints run the layers of one
// request. It has no side effects and keeps no state.
package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherhold.dev/core/identifier"
)

// Runner is one endpoint that holds a range of layers, as the pool owner sees it.
type Runner struct {
	identifier.Stage
	DataCentre identifier.DataCentre
	// Slots is the number of streams that the endpoint can batch at its target speed.
	Slots int
	// TokenTime is the time that one token takes with all slots in use.
	TokenTime time.Duration
	// PrefillTime is the time that one prompt token takes.
	PrefillTime time.Duration
	// Running is the number of streams in flight.
	Running int
	// MemoryTokens is the endpoint's memory for requests, in tokens, and
	// ReservedTokens the part of it that is reserved. If MemoryTokens is 0, the memory
	// is not limited.
	MemoryTokens   identifier.Tokens
	ReservedTokens identifier.Tokens
	// Backlog is how long the endpoint will be busy with prompts that were assigned
	// to it earlier.
	Backlog time.Duration
	// NotFirst is set while the endpoint may not be the first of a chain.
	NotFirst bool
	// Cached is the number of the request's prompt tokens that the endpoint has cached.
	Cached identifier.Tokens
	// Shared is set if another runner has the same address: at most one of them can be in a
	// chain.
	Shared bool
}

// MarkShared sets Shared of all runners.
func MarkShared(runners []Runner) {
	count := make(map[string]int, len(runners))
	for i := range runners {
		count[runners[i].Address]++
	}
	for i := range runners {
		runners[i].Shared = count[runners[i].Address] > 1
	}
}

// Links reports the delay of one hop between data centres.
type Links interface {
	Delay(from, to identifier.DataCentre) time.Duration
}

// TransferTimer is an optional interface of Links. It reports the cost, as a time, of
// transferring a whole prompt from one data centre to another.
type TransferTimer interface {
	TransferTime(from, to identifier.DataCentre, prompt identifier.Tokens) time.Duration
}

// Need holds the requirements that a chain must meet.
type Need struct {
	Layers identifier.Layer
	// Partial allows a chain to use only some of the layers that a runner holds.
	Partial bool
	Version identifier.Version
	Prompt  identifier.Tokens
	Output  identifier.Tokens
	// Entry is the data centre where the caller's connection ends.
	Entry identifier.DataCentre
	// Avoid lists the endpoint incarnations that must not be used.
	Avoid []identifier.EndpointIncarnation
}

// node is the cheapest chain from layer 0 to the end of one runner: its cost, and the
// index of the runner's predecessor or -1 if it is the first.
type node struct {
	cost float64
	prev int
}

// arrival is the cheapest chain that ends at one layer in one data centre. Of all
// chains that end there only this one can be the start of the cheapest whole chain.
type arrival struct {
	layer  identifier.Layer
	centre int
	cost   float64
	// runner is the index of the chain's last runner.
	runner int
}

// search is the state of one call of Best.
type search struct {
	runners  []Runner
	need     *Need
	centres  *centres
	nodes    []node
	arrivals []arrival
}

// Best returns the cheapest chain that covers layers [0, need.Layers) of the
// version with no gap and no overlap, as indexes into runners. Each runner in it has
// a free slot and enough memory, and need.Avoid doesn't list it. Best returns nil if
// there is no such chain. It is faster if runners are in the order of SortByEnd.
func Best(runners []Runner, links Links, need Need) []int {
	s := &search{
		runners: runners,
		need:    &need,
		centres: newCentres(runners, links, &need),
		nodes:   make([]node, len(runners)),
	}
	best := -1
	for _, i := range orderByEnd(runners) {
		if !usable(&runners[i], &need) {
			continue
		}
		s.reach(i)
		if runners[i].To == need.Layers && cheaper(s.nodes, i, best) {
			best = i
		}
	}
	return backtrack(s.nodes, best)
}

func cheaper(nodes []node, i, best int) bool {
	if math.IsInf(nodes[i].cost, 1) {
		return false
	}
	return best < 0 || nodes[i].cost < nodes[best].cost
}

// reach sets the node of runner i; the cost stays infinite if there is no chain. It
// must have been called for all usable runners that end at an earlier layer.
func (s *search) reach(i int) {
	r := &s.runners[i]
	centre := s.centres.index(r.DataCentre)
	whole := wholeCost(r, s.need)
	waiting := backlogWeight * float64(r.Backlog)
	best := node{
		cost: math.Inf(1),
		prev: -1,
	}
	if r.From == 0 && !r.NotFirst && hasMemory(r, s.need, 1) {
		best.cost = whole + waiting + s.centres.entryCost(centre)
	}
	for _, a := range s.connecting(r) {
		if r.Shared && s.passes(a.runner, r.Address) {
			continue
		}
		fraction := float64(r.To-a.layer) / float64(r.To-r.From)
		cost := a.cost + fraction*whole + waiting + s.centres.crossingCost(a.centre, centre)
		if cost < best.cost && hasMemory(r, s.need, fraction) {
			best = node{
				cost: cost,
				prev: a.runner,
			}
		}
	}
	s.nodes[i] = best
	if !math.IsInf(best.cost, 1) {
		s.arrive(r.To, centre, i)
	}
}

// passes reports whether the cheapest chain to runner i passes through an address.
func (s *search) passes(i int, address string) bool {
	for ; i >= 0; i = s.nodes[i].prev {
		if s.runners[i].Address == address {
			return true
		}
	}
	return false
}

// connecting returns the arrivals at which r can continue.
func (s *search) connecting(r *Runner) []arrival {
	first := s.firstArrival(r.From)
	if s.need.Partial {
		return s.arrivals[first:s.firstArrival(r.To)]
	}
	return s.arrivals[first:s.firstArrival(r.From+1)]
}

// firstArrival returns the index of the first arrival at the layer or a later one.
func (s *search) firstArrival(l identifier.Layer) int {
	i, _ := slices.BinarySearchFunc(s.arrivals, l, func(a arrival, l identifier.Layer) int { return cmp.Compare(a.layer, l) })
	return i
}

// arrive records that the chain of node i ends at a layer, which no earlier arrival
// may exceed.
func (s *search) arrive(l identifier.Layer, centre, i int) {
	for k := s.firstArrival(l); k < len(s.arrivals); k++ {
		a := &s.arrivals[k]
		if a.centre != centre {
			continue
		}
		if s.nodes[i].cost < a.cost {
			a.cost = s.nodes[i].cost
			a.runner = i
		}
		return
	}
	s.arrivals = append(s.arrivals, arrival{
		layer:  l,
		centre: centre,
		cost:   s.nodes[i].cost,
		runner: i,
	})
}

// SortByEnd sorts items by the last layer of the runner of each; it keeps the order
// of those that end at the same layer.
func SortByEnd[T any](items []T, runner func(*T) *Runner) {
	slices.SortStableFunc(items, func(a, b T) int { return compareEnds(runner(&a), runner(&b)) })
}

func compareEnds(a, b *Runner) int {
	return cmp.Compare(a.To, b.To)
}

// orderByEnd returns the indexes of runners by the last layer of each.
func orderByEnd(runners []Runner) []int {
	order := make([]int, len(runners))
	for i := range order {
		order[i] = i
	}
	byEnd := func(a, b int) int { return compareEnds(&runners[a], &runners[b]) }
	if !slices.IsSortedFunc(order, byEnd) {
		slices.SortStableFunc(order, byEnd)
	}
	return order
}

func usable(r *Runner, need *Need) bool {
	if r.Version != need.Version || r.Running >= r.Slots || r.To > need.Layers {
		return false
	}
	return !slices.Contains(need.Avoid, r.EndpointIncarnation)
}

// hasMemory reports whether r has memory for a request that uses the given
// fraction of its layers.
func hasMemory(r *Runner, need *Need, fraction float64) bool {
	return r.MemoryTokens <= 0 || r.ReservedTokens+identifier.Tokens(fraction*float64(need.Tokens())) <= r.MemoryTokens
}

// meanOutputShare is the share of a request's output that occupies memory on
// average while the output is generated.
const meanOutputShare = 0.5

// Tokens returns the average memory use of a request, in tokens.
func (n *Need) Tokens() identifier.Tokens {
	return n.Prompt + identifier.Tokens(meanOutputShare*float64(n.Output))
}

// Shares of a token's time: fixedShare does not depend on the size of the batch,
// loadShare is in proportion to it.
const (
	fixedShare = 0.5
	loadShare  = 0.5
)

// wholeCost estimates the time that the request spends in r if it uses all of r's
// layers: its prompt, its output tokens at the load that includes the request, and
// the slowdown that it causes to others. The time for some of the layers is in
// proportion; r's backlog is not included.
func wholeCost(r *Runner, need *Need) float64 {
	load := float64(r.Running+1) / float64(r.Slots)
	token := float64(r.TokenTime) * (fixedShare + loadShare*load)
	prompt := float64(max(need.Prompt-r.Cached, 0)) * float64(r.PrefillTime)
	return prompt + token*float64(need.Output)*(1+load*load)
}

// backlogWeight is how much more the wait for the first token counts than time
// spent on later tokens.
const backlogWeight = 4

func backtrack(nodes []node, last int) []int {
	if last < 0 {
		return nil
	}
	var c []int
	for i := last; i >= 0; i = nodes[i].prev {
		c = append(c, i)
	}
	slices.Reverse(c)
	return c
}

// Stages returns the stages of a chain that Best has picked: each starts at the
// layer where the previous one ends.
func Stages(runners []Runner, picked []int) []identifier.Stage {
	stages := make([]identifier.Stage, 0, len(picked))
	next := identifier.Layer(0)
	for _, i := range picked {
		s := runners[i].Stage
		s.From = next
		next = s.To
		stages = append(stages, s)
	}
	return stages
}

// Check reports whether stages cover layers [0, layers) of one version with no
// gap and no overlap. Every chain must pass Check before it is used.
func Check(stages []identifier.Stage, layers identifier.Layer, version identifier.Version) bool {
	next := identifier.Layer(0)
	for _, s := range stages {
		if s.From != next || s.To <= s.From || s.Version != version {
			return false
		}
		next = s.To
	}
	return next == layers && layers > 0
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
