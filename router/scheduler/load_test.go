package scheduler_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/scheduler"
)

// wide returns an endpoint that holds layers [from, to) with memory for room tokens.
func wide(name identifier.Endpoint, from, to identifier.Layer, slots int, room identifier.Tokens) scheduler.Report {
	return scheduler.Report{Runner: planner.Runner{
		Stage: identifier.Stage{
			Life: identifier.Life{
				Endpoint:    name,
				Incarnation: 1,
			},
			From:    from,
			To:      to,
			Version: "v1",
		},
		Slots:     slots,
		Room:      room,
		TokenTime: time.Millisecond,
	}}
}

// TestPartTakesPart requires that streams which use a half of an endpoint's
// layers take half of its places and memory: twice as many fit.
func TestPartTakesPart(t *testing.T) {
	for name, endpoint := range map[string]scheduler.Report{
		"memory": wide("half", 4, 12, 100, 1600),
		"places": wide("half", 4, 12, 8, 0),
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(0)
			p.Configure(scheduler.Policy{
				Layers:  layers,
				Partial: true,
				Version: "v1",
				Ranks: map[identifier.Rank]declarer.Rank{"batch": {
					BetweenTokens:   identifier.DurationOf(time.Second),
					GuaranteedShare: 0.1,
					QueueLimit:      50,
					MaxWait:         identifier.DurationOf(time.Minute),
				}},
			})
			// The first endpoint ends in the middle of the second.
			p.SetRunners([]scheduler.Report{wide("first", 0, 8, 100, 100_000), endpoint})
			now := time.Unix(0, 0)
			for i := range 30 {
				p.Ask(now, ask(i, "batch"))
			}
			// A request holds 100 tokens of prompt and half of the 64 that are
			// expected: 132 of 1,600 tokens, of which it takes a half. A place that is
			// begun counts as taken.
			want := map[string]int{"memory": 24, "places": 15}[name]
			if got, _ := grants(p, now, "half"); len(got) != want {
				t.Errorf("got %d grants, want %d", len(got), want)
			}
		})
	}
}

// TestUsedLayersMeetTarget requires that a chain is judged by the layers that it
// uses: a request does not wait for a faster one.
func TestUsedLayersMeetTarget(t *testing.T) {
	p := newPool(0)
	p.Configure(scheduler.Policy{
		Layers:  layers,
		Partial: true,
		Version: "v1",
		Ranks: map[identifier.Rank]declarer.Rank{"urgent": {
			BetweenTokens:   identifier.DurationOf(30 * time.Millisecond),
			GuaranteedShare: 0.3,
			QueueLimit:      50,
			MaxWait:         identifier.DurationOf(time.Second),
		}},
	})
	first, second := wide("first", 0, 8, 10, 0), wide("second", 2, 12, 10, 0)
	first.TokenTime = 16 * time.Millisecond
	second.TokenTime = 20 * time.Millisecond
	p.SetRunners([]scheduler.Report{first, second})
	now := time.Unix(0, 0)
	p.Ask(now, ask(0, "urgent"))
	// 16 ms for the first eight layers and 8 ms for four of the other ten.
	if got, _ := grants(p, now, "second"); len(got) != 1 {
		t.Errorf("got %d grants at once, want 1: the chain meets its target", len(got))
	}
}
