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
	seed             = 1
	layers           = 48
	duration         = 60 * time.Second
	warmUp           = 10 * time.Second
	slotsPerEndpoint = 16
	entryCount       = 9
	// FirstTokenTarget is the urgent rank's target for the time to the first token.
	FirstTokenTarget = 430 * time.Millisecond
	// TokenGapTarget is the urgent rank's target for the time between two tokens.
	TokenGapTarget = 27 * time.Millisecond
)

// Ranks holds the ranks, with the targets and guaranteed shares of the quick start.
var Ranks = map[identifier.Rank]declarer.Rank{
	"urgent": {
		Order:           0,
		FirstToken:      identifier.DurationOf(FirstTokenTarget),
		BetweenTokens:   identifier.DurationOf(TokenGapTarget),
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

// fleet returns a fleet of the current size: 30 endpoints with four different token
// times in three data centres.
func fleet() []planner.Runner {
	ranges := [][2]identifier.Layer{{0, 16}, {16, 32}, {32, 48}}
	tokenTimes := []time.Duration{4 * time.Millisecond, 5 * time.Millisecond, 7 * time.Millisecond, 12 * time.Millisecond}
	return simulator.Fleet(ranges, 10, []identifier.DataCentre{"gijon", "torrelavega", "getxo"}, tokenTimes, slotsPerEndpoint)
}

// newLinks returns the fleet's links. The one between torrelavega and getxo is a
// hundred times slower than the others.
func newLinks() simulator.Links {
	const fast, slow = 500 * time.Microsecond, 50 * time.Millisecond
	l := make(simulator.Links)
	set := func(a, b identifier.DataCentre, d time.Duration) {
		l[[2]identifier.DataCentre{a, b}] = d
		l[[2]identifier.DataCentre{b, a}] = d
	}
	set("gijon", "torrelavega", fast)
	set("gijon", "getxo", fast)
	set("torrelavega", "getxo", slow)
	return l
}

// Strategy is a scheduling policy that can be replayed, with its name in the table.
type Strategy struct {
	Name      string
	NewPolicy func(links planner.Links) simulator.Policy
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

func queueConstructor(choice baseliner.Choice, deficitRoundRobin bool) func(planner.Links) simulator.Policy {
	return func(links planner.Links) simulator.Policy {
		return &baseliner.Queue{
			Layers:            layers,
			Version:           "v1",
			Links:             links,
			Choice:            choice,
			DeficitRoundRobin: deficitRoundRobin,
		}
	}
}

func newIndependentEntries(links planner.Links) simulator.Policy {
	e := &baseliner.IndependentEntries{Random: rand.New(rand.NewPCG(seed, seed))}
	for range entryCount {
		e.Entries = append(e.Entries, newPool(links))
	}
	return e
}

// Strategies lists the real scheduling policy first and then its baselines.
var Strategies = []Strategy{
	{Name: "owner", NewPolicy: func(links planner.Links) simulator.Policy { return newPool(links) }},
	{Name: "entries alone", NewPolicy: newIndependentEntries},
	{Name: "drr, planned", NewPolicy: queueConstructor(baseliner.Planned, true)},
	{Name: "fifo, planned", NewPolicy: queueConstructor(baseliner.Planned, false)},
	{Name: "fifo, least", NewPolicy: queueConstructor(baseliner.LeastRequests, false)},
	{Name: "fifo, round robin", NewPolicy: queueConstructor(baseliner.RoundRobin, false)},
}

// Scenario is the requests of a replay, its faults and the errors in what the
// policy is given.
type Scenario struct {
	Name   string
	Flows  []tracer.Flow
	Faults []simulator.Fault
	// ReportLag is the age of load reports when they reach the policy.
	ReportLag time.Duration
	// LengthFactor multiplies the output lengths that the policy is given; 0
	// means 1.
	LengthFactor float64
}

// Trace returns the scenario's requests.
func (s Scenario) Trace() []tracer.Request {
	return tracer.Generate(seed, s.Flows)
}

// Find returns the scenario with the given name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

func newFlow(customer string, tier identifier.Tier, rank identifier.Rank, rate float64) tracer.Flow {
	return tracer.Flow{
		Customer:   identifier.Customer(customer),
		Tier:       tier,
		Rank:       rank,
		Rate:       rate,
		To:         duration,
		MeanOutput: 100,
	}
}

// usualFlows returns a load of about 60% of the fleet's bound: urgent, shorten and
// batch requests of small customers, and some free-tier batch requests.
func usualFlows() []tracer.Flow {
	return []tracer.Flow{
		newFlow("council", identifier.Paying, "urgent", 8),
		newFlow("press", identifier.Paying, "urgent", 8),
		newFlow("export", identifier.Paying, "shorten", 10),
		newFlow("archive", identifier.Paying, "batch", 20),
		newFlow("hospice", identifier.Free, "batch", 4),
	}
}

func saturatedFlows() []tracer.Flow {
	return append(usualFlows(), newFlow("night", identifier.Paying, "batch", 150))
}

func smallAndLargeFlows() []tracer.Flow {
	var flows []tracer.Flow
	for i := range 8 {
		flows = append(flows, newFlow(fmt.Sprintf("small%d", i), identifier.Paying, "shorten", 0.7))
	}
	for i := range 2 {
		flows = append(flows, newFlow(fmt.Sprintf("large%d", i), identifier.Paying, "shorten", 70))
	}
	return flows
}

func sharedPrefixFlows() []tracer.Flow {
	flows := usualFlows()
	for i := range flows {
		flows[i].Prefixes = 400
	}
	return flows
}

func getxoEndpoints() []identifier.Endpoint {
	var out []identifier.Endpoint
	for _, r := range fleet() {
		if r.DataCentre == "getxo" {
			out = append(out, r.Endpoint)
		}
	}
	return out
}

// faultTime is when the first fault of a scenario happens.
const faultTime = 30 * time.Second

// Scenarios returns every scenario, in the order of the table.
func Scenarios() []Scenario {
	firstLink := [2]identifier.DataCentre{"gijon", "torrelavega"}
	return []Scenario{
		{Name: "usual", Flows: usualFlows()},
		{Name: "saturated", Flows: saturatedFlows()},
		{Name: "batch flood", Flows: append(usualFlows(), newFlow("night", identifier.Paying, "batch", 200))},
		{Name: "urgent flood", Flows: append(usualFlows(), newFlow("rush", identifier.Paying, "urgent", 160))},
		{Name: "free flood", Flows: append(usualFlows(), newFlow("crowd", identifier.Free, "batch", 200))},
		{Name: "small and large", Flows: smallAndLargeFlows()},
		{Name: "stage dies", Flows: saturatedFlows(), Faults: []simulator.Fault{{
			At:   faultTime,
			Kill: []identifier.Endpoint{"e1-00"},
		}}},
		{Name: "data centre cut", Flows: saturatedFlows(), Faults: []simulator.Fault{{
			At:   faultTime,
			Kill: getxoEndpoints(),
		}}},
		{Name: "link degrades twice", Flows: saturatedFlows(), Faults: []simulator.Fault{
			{
				At:        faultTime,
				Link:      firstLink,
				LinkDelay: 50 * time.Millisecond,
			},
			{
				At:        faultTime + 5*time.Second,
				Link:      [2]identifier.DataCentre{"gijon", "getxo"},
				LinkDelay: 50 * time.Millisecond,
			},
		}},
		{Name: "reports 2 s late", Flows: saturatedFlows(), ReportLag: 2 * time.Second},
		{Name: "lengths wrong tenfold", Flows: saturatedFlows(), LengthFactor: 10},
		{Name: "shared prefixes", Flows: sharedPrefixFlows()},
	}
}
