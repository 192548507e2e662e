package scheduler_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/scheduler"
)

// newReport returns the report of an endpoint that holds layers [from, to) and has
// memory for the given number of tokens.
func newReport(name identifier.Endpoint, from, to identifier.Layer, slots int, memory identifier.Tokens) scheduler.Report {
	return scheduler.Report{Runner: planner.Runner{
		Stage: identifier.Stage{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    name,
				Incarnation: 1,
			},
			From:    from,
			To:      to,
			Version: "v1",
		},
		Slots:        slots,
		MemoryTokens: memory,
		TokenTime:    time.Millisecond,
	}}
}

// TestPartialStageUsesPartialCapacity requires that streams that use half of an
// endpoint's layers use half of a slot and of the memory each: twice as many fit.
func TestPartialStageUsesPartialCapacity(t *testing.T) {
	for name, endpoint := range map[string]scheduler.Report{
		"memory": newReport("half", 4, 12, 100, 1600),
		"slots":  newReport("half", 4, 12, 8, 0),
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
			// The layers of the first endpoint end in the middle of those of the second.
			p.SetRunners([]scheduler.Report{newReport("first", 0, 8, 100, 100_000), endpoint})
			now := time.Unix(0, 0)
			for i := range 30 {
				p.Ask(now, ask(i, "batch"))
			}
			// A request reserves its 100 prompt tokens and half of the 64 predicted
			// output tokens: 132 tokens. As it uses half of the layers, it takes half of
			// that from the memory for 1,600 tokens. A slot in partial use counts as used.
			want := map[string]int{"memory": 24, "slots": 15}[name]
			if got, _ := grantsThrough(p, now, "half"); len(got) != want {
				t.Errorf("got %d grants, want %d", len(got), want)
			}
		})
	}
}

// TestOnlyUsedLayersCountTowardsTarget requires that the token time of a chain
// includes only the layers that the chain uses. If all layers of its endpoints
// counted, the request would wait for a faster chain.
func TestOnlyUsedLayersCountTowardsTarget(t *testing.T) {
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
	first, second := newReport("first", 0, 8, 10, 0), newReport("second", 2, 12, 10, 0)
	first.TokenTime = 16 * time.Millisecond
	second.TokenTime = 20 * time.Millisecond
	p.SetRunners([]scheduler.Report{first, second})
	now := time.Unix(0, 0)
	p.Ask(now, ask(0, "urgent"))
	// 16 ms for the first eight layers and 8 ms for four of the other ten.
	if got, _ := grantsThrough(p, now, "second"); len(got) != 1 {
		t.Errorf("got %d grants at once, want 1: the chain meets its target", len(got))
	}
}
