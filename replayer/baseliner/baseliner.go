// Package baseliner holds the plain ways of scheduling that the real one is
// measured against.
package baseliner

import (
	"math/rand/v2"
	"slices"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/scheduler"
)

// Choice picks chains.
type Choice int

// The choices.
const (
	// RoundRobin takes the holders of each range in turn.
	RoundRobin Choice = iota
	// LeastRequests takes the holder of each range with the fewest streams.
	LeastRequests
	// Planned takes the planner's chain.
	Planned
)

// Queue is one queue for all, without early refusal: first come, first served,
// or deficit round robin over customers.
type Queue struct {
	Layers  identifier.Layer
	Version identifier.Version
	Links   planner.Links
	Choice  Choice
	// Deficit turns on deficit round robin over customers.
	Deficit bool

	runners  []planner.Runner
	queues   map[identifier.Customer][]scheduler.Ask
	order    []identifier.Customer
	held     map[identifier.Request][]identifier.Stage
	own      map[identifier.Life]int
	turn     int
	deficits map[identifier.Customer]float64
}

// SetRunners replaces what is known of the endpoints.
func (q *Queue) SetRunners(reports []scheduler.Report) {
	q.runners = q.runners[:0]
	for _, r := range reports {
		q.runners = append(q.runners, r.Runner)
	}
}

// Ask queues a request.
func (q *Queue) Ask(_ time.Time, a scheduler.Ask) {
	q.prepare()
	key := a.Customer
	if !q.Deficit {
		key = ""
	}
	if _, ok := q.queues[key]; !ok {
		q.order = append(q.order, key)
	}
	q.queues[key] = append(q.queues[key], a)
}

func (q *Queue) prepare() {
	if q.held == nil {
		q.held = make(map[identifier.Request][]identifier.Stage)
		q.own = make(map[identifier.Life]int)
		q.deficits = make(map[identifier.Customer]float64)
		q.queues = make(map[identifier.Customer][]scheduler.Ask)
	}
}

// Release frees a chain.
func (q *Queue) Release(_ time.Time, r identifier.Request, _ scheduler.Outcome) {
	for _, s := range q.held[r] {
		q.own[s.Life]--
	}
	delete(q.held, r)
}

// Decide grants the first requests that find a chain.
func (q *Queue) Decide(time.Time) []scheduler.Decision {
	q.prepare()
	var out []scheduler.Decision
	for {
		key, ok := q.first()
		if !ok {
			return out
		}
		a := q.queues[key][0]
		chain := q.choose(a)
		if chain == nil {
			return out
		}
		q.queues[key] = q.queues[key][1:]
		q.deficits[key] -= cost(a)
		q.held[a.Request] = chain
		for _, s := range chain {
			q.own[s.Life]++
		}
		out = append(out, scheduler.Decision{
			Verdict: scheduler.Granted,
			Request: a.Request,
			Chain:   chain,
		})
	}
}

// quantum is what a customer may use in one turn, in tokens.
const quantum = 200.0

func cost(a scheduler.Ask) float64 {
	return float64(a.Prompt) + float64(a.Output)
}

// first returns the queue whose turn it is.
func (q *Queue) first() (identifier.Customer, bool) {
	for {
		waiting := false
		for range q.order {
			key := q.order[0]
			if len(q.queues[key]) > 0 {
				waiting = true
				if !q.Deficit || q.deficits[key] >= cost(q.queues[key][0]) {
					return key, true
				}
				q.deficits[key] += quantum
			}
			q.order = append(q.order[1:], key)
		}
		if !waiting {
			return "", false
		}
	}
}

func (q *Queue) choose(a scheduler.Ask) []identifier.Stage {
	for i := range q.runners {
		q.runners[i].Running = q.own[q.runners[i].Life]
	}
	if q.Choice == Planned {
		return q.planned(a)
	}
	var chain []identifier.Stage
	for at := identifier.Layer(0); at < q.Layers; {
		i := q.holder(at)
		if i < 0 {
			return nil
		}
		chain = append(chain, q.runners[i].Stage)
		at = q.runners[i].To
	}
	return chain
}

func (q *Queue) planned(a scheduler.Ask) []identifier.Stage {
	picked := planner.Best(q.runners, q.Links, planner.Need{
		Layers:  q.Layers,
		Version: q.Version,
		Prompt:  a.Prompt,
		Output:  a.Output,
		Entry:   a.Entry,
	})
	var chain []identifier.Stage
	for _, i := range picked {
		chain = append(chain, q.runners[i].Stage)
	}
	return chain
}

// holder returns the runner for the range that begins at a layer; -1 if none is free.
func (q *Queue) holder(from identifier.Layer) int {
	q.turn++
	best := -1
	for n := range q.runners {
		i := (n + q.turn) % len(q.runners)
		r := &q.runners[i]
		if r.From != from || r.Running >= r.Slots {
			continue
		}
		if q.Choice == RoundRobin {
			return i
		}
		if best < 0 || r.Running < q.runners[best].Running {
			best = i
		}
	}
	return best
}

// Alone is entries that each schedule a share of the slots by the real policy,
// without an owner.
type Alone struct {
	// Entries is one pool for each entry.
	Entries []*scheduler.Pool
	// Random picks the entry that a request arrives at.
	Random *rand.Rand

	at map[identifier.Request]int
}

// SetRunners tells each entry its share of the slots.
func (a *Alone) SetRunners(reports []scheduler.Report) {
	for _, e := range a.Entries {
		shared := slices.Clone(reports)
		for i := range shared {
			shared[i].Slots = max(shared[i].Slots/len(a.Entries), 1)
			shared[i].Reported = 0
		}
		e.SetRunners(shared)
	}
}

// Ask queues a request at a random entry; one that goes on stays at its entry.
func (a *Alone) Ask(now time.Time, ask scheduler.Ask) {
	if a.at == nil {
		a.at = make(map[identifier.Request]int)
	}
	i, ok := a.at[ask.Request]
	if !ok {
		i = a.Random.IntN(len(a.Entries))
		a.at[ask.Request] = i
	}
	a.Entries[i].Ask(now, ask)
}

// Release gives a ticket back at its entry.
func (a *Alone) Release(now time.Time, r identifier.Request, o scheduler.Outcome) {
	a.Entries[a.at[r]].Release(now, r, o)
}

// Decide collects the entries' decisions.
func (a *Alone) Decide(now time.Time) []scheduler.Decision {
	var out []scheduler.Decision
	for _, e := range a.Entries {
		out = append(out, e.Decide(now)...)
	}
	return out
}
