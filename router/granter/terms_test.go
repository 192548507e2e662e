package granter_test

import (
	"math"
	"testing"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/granter"
)

// TestTermsOutOfBoundsCauseRefusal guards against refusing a request although an
// endpoint is free, because the terms of the request's rank are invalid or too
// large for the message.
func TestTermsOutOfBoundsCauseRefusal(t *testing.T) {
	for name, terms := range map[string]*messenger.Terms{
		"negative queue": {
			BetweenTokensMs: 100,
			QueueLimit:      -1,
			MaxWaitMs:       1000,
		},
		"negative wait": {
			BetweenTokensMs: 100,
			QueueLimit:      10,
			MaxWaitMs:       -1,
		},
		"endless wait": {
			BetweenTokensMs: 100,
			QueueLimit:      10,
			MaxWaitMs:       math.MaxInt64 / 2,
		},
		"large queue": granter.TermsOf(&declarer.Rank{
			BetweenTokens: identifier.DurationOf(100 * time.Millisecond),
			QueueLimit:    math.MaxUint32,
			MaxWait:       identifier.DurationOf(time.Second),
		}),
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t)
			o.configure(6, "batch")
			stream, err := o.granter.Open(t.Context(), granter.Key{Service: service})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(stream.Close)
			stream.Send(&messenger.ToOwner{Asks: []*messenger.Ask{{
				Request:      "r1.1",
				Rank:         urgent,
				Weight:       1,
				OutputTokens: 10,
				Terms:        terms,
			}}})
			grants, refusals := awaitDecisions(t, stream, 1)
			if len(grants) != 1 {
				t.Errorf("got refusals %v, want a grant", refusals)
			}
		})
	}
}
