package comparer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/replayer/baseliner"
	"heatherhold.dev/replayer/simulator"
	"heatherhold.dev/replayer/tracer"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/scheduler"
)

const (
	seed    = 1
	layers  = 48
	length  = 60 * time.Second
	warm    = 10 * time.Second
	slots   = 16
	entries = 9
	// FirstTarget is the urgent rank's target for the first token.
	FirstTarget = 430 * time.Millisecond
	// GapTarget is the one between two tokens.
	GapTarget = 27 * time.Millisecond
)

// Ranks are declared as in the quick start.
var Ranks = map[identifier.Rank]declarer.Rank{
	"urgent": {
		Order:           0,
		FirstToken:      identifier.DurationOf(FirstTarget),
		BetweenTokens:   identifier.DurationOf(GapTarget),
		GuaranteedShare: 0.3,
		QueueLimit:      200,
		MaxWait:         identifier.DurationOf(300 * time.Millisecond),
	},
	"shorten": {
		Order:           1,
		FirstToken:      identifier.DurationOf(2 * time.Second),
		BetweenTokens:   identifier.DurationOf(60 * time.Millisecond),
		GuaranteedShare: 0.2,
		QueueLimit:      500,
		MaxWait:         identifier.DurationOf(5 * time.Second),
	},
	"batch": {
		Order:           2,
		FirstToken:      identifier.DurationOf(10 * time.Minute),
		BetweenTokens:   identifier.DurationOf(time.Second),
		GuaranteedShare: 0.1,
		FreeShare:       0.01,
		QueueLimit:      100_000,
		MaxWait:         identifier.DurationOf(30 * time.Minute),
	},
}

// fleet is today's size: 30 endpoints of four kinds in three data centres.
func fleet() []planner.Runner {
	ranges := [][2]identifier.Layer{{0, 16}, {16, 32}, {32, 48}}
	kinds := []time.Duration{4 * time.Millisecond, 5 * time.Millisecond, 7 * time.Millisecond, 12 * time.Millisecond}
	return simulator.Fleet(ranges, 10, []identifier.DataCentre{"gijon", "torrelavega", "getxo"}, kinds, slots)
}

// newLinks has one link that is a hundred times slower than the others.
func newLinks() simulator.Links {
	const near, far = 500 * time.Microsecond, 50 * time.Millisecond
	l := make(simulator.Links)
	set := func(a, b identifier.DataCentre, d time.Duration) {
		l[[2]identifier.DataCentre{a, b}] = d
		l[[2]identifier.DataCentre{b, a}] = d
	}
	set("gijon", "torrelavega", near)
	set("gijon", "getxo", near)
	set("torrelavega", "getxo", far)
	return l
}

// Way is one way of scheduling.
type Way struct {
	Name string
	Make func(links planner.Links) simulator.Policy
}

func newPool(links planner.Links) *scheduler.Pool {
	p := &scheduler.Pool{}
	p.Configure(scheduler.Policy{
		Layers:  layers,
		Version: "v1",
		Ranks:   Ranks,
		Links:   links,
	})
	return p
}

func queue(choice baseliner.Choice, deficit bool) func(planner.Links) simulator.Policy {
	return func(links planner.Links) simulator.Policy {
		return &baseliner.Queue{
			Layers:            layers,
			Version:           "v1",
			Links:             links,
			Choice:            choice,
			DeficitRoundRobin: deficit,
		}
	}
}

func alone(links planner.Links) simulator.Policy {
	a := &baseliner.IndependentEntries{Random: rand.New(rand.NewPCG(seed, seed))}
	for range entries {
		a.Entries = append(a.Entries, newPool(links))
	}
	return a
}

// Ways lists the real way of scheduling, first, and its baselines.
var Ways = []Way{
	{Name: "owner", Make: func(links planner.Links) simulator.Policy { return newPool(links) }},
	{Name: "entries alone", Make: alone},
	{Name: "drr, planned", Make: queue(baseliner.Planned, true)},
	{Name: "fifo, planned", Make: queue(baseliner.Planned, false)},
	{Name: "fifo, least", Make: queue(baseliner.LeastRequests, false)},
	{Name: "fifo, round robin", Make: queue(baseliner.RoundRobin, false)},
}

// Scenario is a trace with faults.
type Scenario struct {
	Name   string
	Flows  []tracer.Flow
	Faults []simulator.Fault
	// Lag is how old load reports are.
	Lag time.Duration
	// Wrong multiplies the answers' lengths that the policy is told.
	Wrong float64
}

// Trace returns the scenario's requests.
func (s Scenario) Trace() []tracer.Request {
	return tracer.Generate(seed, s.Flows)
}

// Find returns the scenario of a name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

func flow(customer string, tier identifier.Tier, rank identifier.Rank, rate float64) tracer.Flow {
	return tracer.Flow{
		Customer: identifier.Customer(customer),
		Tier:     tier,
		Rank:     rank,
		Rate:     rate,
		To:       length,
		Output:   100,
	}
}

// usual is a load of about 70 in 100: urgent, shorten and batch work of small
// customers, and some free-tier batch work.
func usual() []tracer.Flow {
	return []tracer.Flow{
		flow("council", identifier.Paying, "urgent", 8),
		flow("press", identifier.Paying, "urgent", 8),
		flow("export", identifier.Paying, "shorten", 10),
		flow("archive", identifier.Paying, "batch", 20),
		flow("hospice", identifier.Free, "batch", 4),
	}
}

func saturated() []tracer.Flow {
	return append(usual(), flow("night", identifier.Paying, "batch", 150))
}

func smallAndLarge() []tracer.Flow {
	var flows []tracer.Flow
	for i := range 8 {
		flows = append(flows, flow(fmt.Sprintf("small%d", i), identifier.Paying, "shorten", 0.7))
	}
	for i := range 2 {
		flows = append(flows, flow(fmt.Sprintf("large%d", i), identifier.Paying, "shorten", 70))
	}
	return flows
}

func prefixed() []tracer.Flow {
	flows := usual()
	for i := range flows {
		flows[i].Prefixes = 400
	}
	return flows
}

func deadCentre() []identifier.Endpoint {
	var out []identifier.Endpoint
	for _, r := range fleet() {
		if r.DataCentre == "getxo" {
			out = append(out, r.Endpoint)
		}
	}
	return out
}

// faultAt is when faults happen.
const faultAt = 30 * time.Second

// Scenarios returns every scenario, in the order of the table.
func Scenarios() []Scenario {
	slow := [2]identifier.DataCentre{"gijon", "torrelavega"}
	return []Scenario{
		{Name: "usual", Flows: usual()},
		{Name: "saturated", Flows: saturated()},
		{Name: "batch flood", Flows: append(usual(), flow("night", identifier.Paying, "batch", 200))},
		{Name: "urgent flood", Flows: append(usual(), flow("rush", identifier.Paying, "urgent", 160))},
		{Name: "free flood", Flows: append(usual(), flow("crowd", identifier.Free, "batch", 200))},
		{Name: "small and large", Flows: smallAndLarge()},
		{Name: "stage dies", Flows: saturated(), Faults: []simulator.Fault{{
			At:   faultAt,
			Kill: []identifier.Endpoint{"e1-00"},
		}}},
		{Name: "data centre cut", Flows: saturated(), Faults: []simulator.Fault{{
			At:   faultAt,
			Kill: deadCentre(),
		}}},
		{Name: "link degrades twice", Flows: saturated(), Faults: []simulator.Fault{
			{
				At:        faultAt,
				Slow:      slow,
				SlowDelay: 50 * time.Millisecond,
			},
			{
				At:        faultAt + 5*time.Second,
				Slow:      [2]identifier.DataCentre{"gijon", "getxo"},
				SlowDelay: 50 * time.Millisecond,
			},
		}},
		{Name: "reports 2 s late", Flows: saturated(), Lag: 2 * time.Second},
		{Name: "lengths wrong tenfold", Flows: saturated(), Wrong: 10},
		{Name: "shared prefixes", Flows: prefixed()},
	}
}
