// Package planner chooses chains: which endpoints run the layers of one
// request. It has no side effects and keeps no state.
package planner

import (
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
	// Cached is the number of the request's prompt tokens that the endpoint has cached.
	Cached identifier.Tokens
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

// Best returns the cheapest chain that covers layers [0, need.Layers) of the
// version with no gap and no overlap, as indexes into runners. Each runner in it has
// a free slot and enough memory, and need.Avoid doesn't list it. Best returns nil if
// there is no such chain.
func Best(runners []Runner, links Links, need Need) []int {
	order := orderByEnd(runners)
	nodes := make([]node, len(runners))
	best := -1
	for _, i := range order {
		nodes[i] = node{
			cost: math.Inf(1),
			prev: -1,
		}
		if !usable(&runners[i], &need) {
			continue
		}
		setNode(runners, nodes, order, i, links, need)
		if runners[i].To == need.Layers && cheaper(nodes, i, best) {
			best = i
		}
	}
	return backtrack(nodes, best)
}

func cheaper(nodes []node, i, best int) bool {
	if math.IsInf(nodes[i].cost, 1) {
		return false
	}
	return best < 0 || nodes[i].cost < nodes[best].cost
}

// setNode sets the node of runner i; the cost stays infinite if there is no chain.
// The nodes of all runners that end at an earlier layer must be set.
func setNode(runners []Runner, nodes []node, order []int, i int, links Links, need Need) {
	r := &runners[i]
	if r.From == 0 && hasMemory(r, need, 1) {
		nodes[i].cost = runnerCost(r, need, 1) + hopCost(links, need.Entry, r.DataCentre, need)
	}
	for _, j := range order {
		prev := &runners[j]
		if prev.To >= r.To {
			return
		}
		if !connects(prev, r, need) || math.IsInf(nodes[j].cost, 1) {
			continue
		}
		fraction := float64(r.To-prev.To) / float64(r.To-r.From)
		if !hasMemory(r, need, fraction) {
			continue
		}
		cost := nodes[j].cost + runnerCost(r, need, fraction) + hopCost(links, prev.DataCentre, r.DataCentre, need) + transferCost(links, prev.DataCentre, r.DataCentre, need)
		if cost < nodes[i].cost {
			nodes[i].cost = cost
			nodes[i].prev = j
		}
	}
}

// connects reports whether r can continue at the layer where prev ends.
func connects(prev, r *Runner, need Need) bool {
	if need.Partial {
		return r.From <= prev.To
	}
	return r.From == prev.To
}

func orderByEnd(runners []Runner) []int {
	order := make([]int, len(runners))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return int(runners[a].To) - int(runners[b].To)
	})
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
func hasMemory(r *Runner, need Need, fraction float64) bool {
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

// runnerCost estimates the time that the request spends in r if it uses the given
// fraction of r's layers: its prompt, the weighted backlog, its output tokens at
// the load that includes the request, and the slowdown that it causes to others.
func runnerCost(r *Runner, need Need, fraction float64) float64 {
	load := float64(r.Running+1) / float64(r.Slots)
	token := fraction * float64(r.TokenTime) * (fixedShare + loadShare*load)
	prompt := fraction * float64(max(need.Prompt-r.Cached, 0)) * float64(r.PrefillTime)
	return prompt + backlogWeight*float64(r.Backlog) + token*float64(need.Output)*(1+load*load)
}

// backlogWeight is how much more the wait for the first token counts than time
// spent on later tokens.
const backlogWeight = 4

// hopCost returns the time that the request's output tokens spend on one link.
func hopCost(links Links, from, to identifier.DataCentre, need Need) float64 {
	return float64(links.Delay(from, to)) * float64(need.Output)
}

// transferCost returns the cost of transferring the request's prompt between two
// stages. It is 0 within a data centre, or if links does not implement TransferTimer.
func transferCost(links Links, from, to identifier.DataCentre, need Need) float64 {
	transferTimes, ok := links.(TransferTimer)
	if !ok || from == to {
		return 0
	}
	return float64(transferTimes.TransferTime(from, to, need.Prompt))
}

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
