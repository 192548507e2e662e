// Package baseliner implements simple scheduling policies, the baselines that
// the replayer compares with the real policy, scheduler.Pool.
package baseliner

import (
	"math/rand/v2"
	"slices"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/scheduler"
)

// Choice is how a Queue chooses the chain of a request.
type Choice int

// The choices.
const (
	// RoundRobin takes, for each layer range, the first runner with a free slot from
	// a position that advances by one runner with each choice. All ranges share the
	// position, so the turns are uneven.
	RoundRobin Choice = iota
	// LeastRequests takes, for each layer range, the runner with a free slot that has
	// the fewest streams.
	LeastRequests
	// Planned takes the chain that planner.Best returns.
	Planned
)

// Queue is a scheduling policy that refuses no request. It serves requests first
// come, first served from one queue, or by deficit round robin with one queue
// for each customer.
type Queue struct {
	Layers  identifier.Layer
	Version identifier.Version
	Links   planner.Links
	Choice  Choice
	// DeficitRoundRobin turns on deficit round robin over customers; otherwise
	// one queue serves all customers.
	DeficitRoundRobin bool

	runners    []planner.Runner
	queues     map[identifier.Customer][]scheduler.Ask
	queueOrder []identifier.Customer
	granted    map[identifier.Request][]identifier.Stage
	running    map[identifier.EndpointIncarnation]int
	rotation   int
	deficits   map[identifier.Customer]float64
}

// SetRunners replaces the runners that chains are chosen from.
func (q *Queue) SetRunners(reports []scheduler.Report) {
	q.runners = q.runners[:0]
	for _, r := range reports {
		q.runners = append(q.runners, r.Runner)
	}
}

// Ask queues a request.
func (q *Queue) Ask(_ time.Time, a scheduler.Ask) {
	q.initialize()
	key := a.Customer
	if !q.DeficitRoundRobin {
		key = ""
	}
	if _, ok := q.queues[key]; !ok {
		q.queueOrder = append(q.queueOrder, key)
	}
	q.queues[key] = append(q.queues[key], a)
}

func (q *Queue) initialize() {
	if q.granted == nil {
		q.granted = make(map[identifier.Request][]identifier.Stage)
		q.running = make(map[identifier.EndpointIncarnation]int)
		q.deficits = make(map[identifier.Customer]float64)
		q.queues = make(map[identifier.Customer][]scheduler.Ask)
	}
}

// Release frees the slots of the chain that r was granted.
func (q *Queue) Release(_ time.Time, r identifier.Request, _ scheduler.Outcome) {
	for _, s := range q.granted[r] {
		q.running[s.EndpointIncarnation]--
	}
	delete(q.granted, r)
}

// Decide grants chains to requests in queue order. It stops at the first request
// for which no chain has a free slot.
func (q *Queue) Decide(time.Time) []scheduler.Decision {
	q.initialize()
	var out []scheduler.Decision
	for {
		key, ok := q.nextQueue()
		if !ok {
			return out
		}
		a := q.queues[key][0]
		chain := q.chooseChain(a)
		if chain == nil {
			return out
		}
		q.queues[key] = q.queues[key][1:]
		q.deficits[key] -= cost(a)
		q.granted[a.Request] = chain
		for _, s := range chain {
			q.running[s.EndpointIncarnation]++
		}
		out = append(out, scheduler.Decision{
			Verdict: scheduler.Granted,
			Request: a.Request,
			Chain:   chain,
		})
	}
}

// quantum is the number of tokens that each round adds to a customer's deficit
// counter.
const quantum = 200.0

// cost returns the maximum number of tokens that a may use.
func cost(a scheduler.Ask) float64 {
	return float64(a.Prompt) + float64(a.Output)
}

// nextQueue returns the key of the queue to serve next, or false if all queues
// are empty.
func (q *Queue) nextQueue() (identifier.Customer, bool) {
	for {
		waiting := false
		for range q.queueOrder {
			key := q.queueOrder[0]
			if len(q.queues[key]) > 0 {
				waiting = true
				if !q.DeficitRoundRobin || q.deficits[key] >= cost(q.queues[key][0]) {
					return key, true
				}
				q.deficits[key] += quantum
			}
			q.queueOrder = append(q.queueOrder[1:], key)
		}
		if !waiting {
			return "", false
		}
	}
}

func (q *Queue) chooseChain(a scheduler.Ask) []identifier.Stage {
	for i := range q.runners {
		q.runners[i].Running = q.running[q.runners[i].EndpointIncarnation]
	}
	if q.Choice == Planned {
		return q.planChain(a)
	}
	var chain []identifier.Stage
	for layer := identifier.Layer(0); layer < q.Layers; {
		i := q.chooseRunner(layer)
		if i < 0 {
			return nil
		}
		chain = append(chain, q.runners[i].Stage)
		layer = q.runners[i].To
	}
	return chain
}

func (q *Queue) planChain(a scheduler.Ask) []identifier.Stage {
	indexes := planner.Best(q.runners, q.Links, planner.Need{
		Layers:  q.Layers,
		Version: q.Version,
		Prompt:  a.Prompt,
		Output:  a.Output,
		Entry:   a.Entry,
	})
	var chain []identifier.Stage
	for _, i := range indexes {
		chain = append(chain, q.runners[i].Stage)
	}
	return chain
}

// chooseRunner returns the index of a runner with a free slot whose range begins
// at layer from, or -1 if there is none.
func (q *Queue) chooseRunner(from identifier.Layer) int {
	q.rotation++
	best := -1
	for n := range q.runners {
		i := (n + q.rotation) % len(q.runners)
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

// IndependentEntries is a scheduling policy without a pool owner: each entry, an
// instance that receives requests, schedules its share of the slots with the real
// policy.
type IndependentEntries struct {
	// Entries holds the pool of each entry.
	Entries []*scheduler.Pool
	// Random chooses the entry at which a request arrives.
	Random *rand.Rand

	entryOf map[identifier.Request]int
}

// SetRunners divides each endpoint's slots among the entries; each entry gets at
// least one slot. The reported load is cleared, because it counts the streams of
// all entries.
func (e *IndependentEntries) SetRunners(reports []scheduler.Report) {
	for _, pool := range e.Entries {
		reduced := slices.Clone(reports)
		for i := range reduced {
			reduced[i].Slots = max(reduced[i].Slots/len(e.Entries), 1)
			reduced[i].Reported = 0
		}
		pool.SetRunners(reduced)
	}
}

// Ask queues a request at a random entry. A request that is queued again, after a
// revocation or a failure, goes to the same entry.
func (e *IndependentEntries) Ask(now time.Time, ask scheduler.Ask) {
	if e.entryOf == nil {
		e.entryOf = make(map[identifier.Request]int)
	}
	i, ok := e.entryOf[ask.Request]
	if !ok {
		i = e.Random.IntN(len(e.Entries))
		e.entryOf[ask.Request] = i
	}
	e.Entries[i].Ask(now, ask)
}

// Release frees the slots of r at the entry that scheduled it.
func (e *IndependentEntries) Release(now time.Time, r identifier.Request, o scheduler.Outcome) {
	e.Entries[e.entryOf[r]].Release(now, r, o)
}

// Decide returns the decisions of all entries.
func (e *IndependentEntries) Decide(now time.Time) []scheduler.Decision {
	var out []scheduler.Decision
	for _, pool := range e.Entries {
		out = append(out, pool.Decide(now)...)
	}
	return out
}
