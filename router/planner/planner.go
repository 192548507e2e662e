// Package planner chooses chains: which endpoints run the layers of one
// request. It is pure; the caller holds the state and gives the time.
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
	// Slots is how many streams the endpoint batches at its target speed.
	Slots int
	// TokenTime is the time of one token with all slots in use.
	TokenTime time.Duration
	// PrefillTime is the time of one prompt token.
	PrefillTime time.Duration
	// Running counts the streams in flight.
	Running int
	// Room is how many tokens of requests the endpoint has memory for, and Held
	// how many are reserved; a Room of 0 sets no bound.
	Room identifier.Tokens
	Held identifier.Tokens
	// Backlog is how long prompts that were given before keep the endpoint reading.
	Backlog time.Duration
	// Cached is how many of the request's prompt tokens the endpoint has cached.
	Cached identifier.Tokens
}

// Links tells the delay of one hop between data centres.
type Links interface {
	Delay(from, to identifier.DataCentre) time.Duration
}

// Pipes is what Links may tell besides: the time that a whole prompt takes from
// one data centre to another.
type Pipes interface {
	Transfer(from, to identifier.DataCentre, prompt identifier.Tokens) time.Duration
}

// Need is what a chain must do.
type Need struct {
	Layers identifier.Layer
	// Partial allows a chain to use a part of the layers that a runner holds.
	Partial bool
	Version identifier.Version
	Prompt  identifier.Tokens
	Output  identifier.Tokens
	// Entry is where the caller's connection ends.
	Entry identifier.DataCentre
	// Avoid lists endpoint lives that must not be used.
	Avoid []identifier.Life
}

// node is the cheapest way to reach the end of one runner's layers.
type node struct {
	cost float64
	prev int
}

// Best returns the cheapest chain that covers layers [0, need.Layers) of the
// version with no gap and no overlap, as indexes into runners; nil if every
// chain lacks a runner or a free slot.
func Best(runners []Runner, links Links, need Need) []int {
	order := byTo(runners)
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
		enter(runners, nodes, order, i, links, need)
		if runners[i].To == need.Layers && better(nodes, i, best) {
			best = i
		}
	}
	return chain(nodes, best)
}

func better(nodes []node, i, best int) bool {
	if math.IsInf(nodes[i].cost, 1) {
		return false
	}
	return best < 0 || nodes[i].cost < nodes[best].cost
}

// enter finds the cheapest predecessor of runner i.
func enter(runners []Runner, nodes []node, order []int, i int, links Links, need Need) {
	r := &runners[i]
	if r.From == 0 && roomy(r, need, 1) {
		nodes[i].cost = work(r, need, 1) + hop(links, need.Entry, r.DataCentre, need)
	}
	for _, j := range order {
		p := &runners[j]
		if p.To >= r.To {
			return
		}
		if !joins(p, r, need) || math.IsInf(nodes[j].cost, 1) {
			continue
		}
		part := float64(r.To-p.To) / float64(r.To-r.From)
		if !roomy(r, need, part) {
			continue
		}
		cost := nodes[j].cost + work(r, need, part) + hop(links, p.DataCentre, r.DataCentre, need) + transfer(links, p.DataCentre, r.DataCentre, need)
		if cost < nodes[i].cost {
			nodes[i].cost = cost
			nodes[i].prev = j
		}
	}
}

// joins reports whether r can go on where p ends.
func joins(p, r *Runner, need Need) bool {
	if need.Partial {
		return r.From <= p.To
	}
	return r.From == p.To
}

func byTo(runners []Runner) []int {
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
	return !slices.Contains(need.Avoid, r.Life)
}

// roomy reports whether r has memory for a request that uses a part of its layers.
func roomy(r *Runner, need Need, part float64) bool {
	return r.Room <= 0 || r.Held+identifier.Tokens(part*float64(need.Tokens())) <= r.Room
}

// growthPart is the part of an answer that a request holds on average while it
// is written.
const growthPart = 0.5

// Tokens returns the memory that a request takes on average.
func (n *Need) Tokens() identifier.Tokens {
	return n.Prompt + identifier.Tokens(growthPart*float64(n.Output))
}

// Shares of a token's time that a batch takes whatever its size, and in
// proportion to it.
const (
	fixedPart  = 0.5
	loadedPart = 0.5
)

// work is the time that the request spends in r, of whose layers it uses a part:
// its prompt and its tokens at the load that it makes, and the crowding that it
// brings to the others.
func work(r *Runner, need Need, part float64) float64 {
	load := float64(r.Running+1) / float64(r.Slots)
	token := part * float64(r.TokenTime) * (fixedPart + loadedPart*load)
	prompt := part * float64(max(need.Prompt-r.Cached, 0)) * float64(r.PrefillTime)
	return prompt + backlogWeight*float64(r.Backlog) + token*float64(need.Output)*(1+load*load)
}

// backlogWeight is how much more a wait for the first token counts than time
// spent on later ones.
const backlogWeight = 4

// hop is the time that the request's tokens spend on one link.
func hop(links Links, from, to identifier.DataCentre, need Need) float64 {
	return float64(links.Delay(from, to)) * float64(need.Output)
}

// transfer is the time that the request's prompt spends between two stages.
func transfer(links Links, from, to identifier.DataCentre, need Need) float64 {
	pipes, ok := links.(Pipes)
	if !ok || from == to {
		return 0
	}
	return float64(pipes.Transfer(from, to, need.Prompt))
}

func chain(nodes []node, last int) []int {
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

// Stages returns the stages of a chain that Best has picked: each goes on where
// the one before it ends.
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
// gap and no overlap. Every chain is checked by it before use.
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

func scaled(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}
