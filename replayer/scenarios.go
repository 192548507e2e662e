package main

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
	// firstTarget and gapTarget are the urgent rank's targets.
	firstTarget = 430 * time.Millisecond
	gapTarget   = 27 * time.Millisecond
)

// ranks are declared as in the quick start.
var ranks = map[identifier.Rank]declarer.Rank{
	"urgent": {
		Order:           0,
		FirstToken:      identifier.Duration(firstTarget),
		BetweenTokens:   identifier.Duration(gapTarget),
		GuaranteedShare: 0.3,
		QueueLimit:      200,
		MaxWait:         identifier.Duration(300 * time.Millisecond),
	},
	"shorten": {
		Order:           1,
		FirstToken:      identifier.Duration(2 * time.Second),
		BetweenTokens:   identifier.Duration(60 * time.Millisecond),
		GuaranteedShare: 0.2,
		QueueLimit:      500,
		MaxWait:         identifier.Duration(5 * time.Second),
	},
	"batch": {
		Order:           2,
		FirstToken:      identifier.Duration(10 * time.Minute),
		BetweenTokens:   identifier.Duration(time.Second),
		GuaranteedShare: 0.1,
		FreeShare:       0.01,
		QueueLimit:      100_000,
		MaxWait:         identifier.Duration(30 * time.Minute),
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

// way is one way of scheduling.
type way struct {
	name string
	make func(links planner.Links) simulator.Policy
}

func newPool(links planner.Links) *scheduler.Pool {
	p := &scheduler.Pool{}
	p.Configure(scheduler.Policy{
		Layers:  layers,
		Version: "v1",
		Ranks:   ranks,
		Links:   links,
	})
	return p
}

func queue(choice baseliner.Choice, deficit bool) func(planner.Links) simulator.Policy {
	return func(links planner.Links) simulator.Policy {
		return &baseliner.Queue{
			Layers:  layers,
			Version: "v1",
			Links:   links,
			Choice:  choice,
			Deficit: deficit,
		}
	}
}

func alone(links planner.Links) simulator.Policy {
	a := &baseliner.Alone{Random: rand.New(rand.NewPCG(seed, seed))}
	for range entries {
		a.Entries = append(a.Entries, newPool(links))
	}
	return a
}

var ways = []way{
	{name: "owner", make: func(links planner.Links) simulator.Policy { return newPool(links) }},
	{name: "entries alone", make: alone},
	{name: "drr, planned", make: queue(baseliner.Planned, true)},
	{name: "fifo, planned", make: queue(baseliner.Planned, false)},
	{name: "fifo, least", make: queue(baseliner.LeastRequests, false)},
	{name: "fifo, round robin", make: queue(baseliner.RoundRobin, false)},
}

// scenario is a trace with faults.
type scenario struct {
	name   string
	flows  []tracer.Flow
	faults []simulator.Fault
	lag    time.Duration
	wrong  float64
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

func scenarios() []scenario {
	slow := [2]identifier.DataCentre{"gijon", "torrelavega"}
	return []scenario{
		{name: "usual", flows: usual()},
		{name: "saturated", flows: saturated()},
		{name: "batch flood", flows: append(usual(), flow("night", identifier.Paying, "batch", 200))},
		{name: "urgent flood", flows: append(usual(), flow("rush", identifier.Paying, "urgent", 160))},
		{name: "free flood", flows: append(usual(), flow("crowd", identifier.Free, "batch", 200))},
		{name: "small and large", flows: smallAndLarge()},
		{name: "stage dies", flows: saturated(), faults: []simulator.Fault{{
			At:   faultAt,
			Kill: []identifier.Endpoint{"e1-00"},
		}}},
		{name: "data centre cut", flows: saturated(), faults: []simulator.Fault{{
			At:   faultAt,
			Kill: deadCentre(),
		}}},
		{name: "link degrades twice", flows: saturated(), faults: []simulator.Fault{
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
		{name: "reports 2 s late", flows: saturated(), lag: 2 * time.Second},
		{name: "lengths wrong tenfold", flows: saturated(), wrong: 10},
		{name: "shared prefixes", flows: prefixed()},
	}
}
