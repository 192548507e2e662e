package granter_test

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/granter"
)

// TestInvalidPromiseLosesAsk guards against an ask that is lost, or that hides others, because
// its promise has values out of bounds; the message gives one log line.
func TestInvalidPromiseLosesAsk(t *testing.T) {
	o := newOwner(t)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	o.granter.Loop.Post(func() { o.granter.Log = log })
	o.configure(6, urgent)
	stream, err := o.granter.Open(t.Context(), granter.Key{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	promises := []*messenger.Promise{
		{FirstTokenMs: 500, BetweenTokensMs: -1, RemainingMs: 1000},
		{FirstTokenMs: math.MaxInt64, BetweenTokensMs: math.MaxInt64, RemainingMs: math.MaxInt64},
		{FirstTokenMs: 500, BetweenTokensMs: 250, RemainingMs: 20_000},
		nil,
	}
	m := &messenger.ToOwner{}
	for i, p := range promises {
		m.Asks = append(m.Asks, &messenger.Ask{
			Request:      string(rune('a' + i)),
			Rank:         urgent,
			Weight:       1,
			OutputTokens: 10,
			Promise:      p,
		})
	}
	stream.Send(m)
	grants, refusals := awaitDecisions(t, stream, len(promises))
	if got, want := len(grants), len(promises); got != want {
		t.Errorf("grants: got %d and refusals %v, want %d", got, refusals, want)
	}
	lines := make(chan int, 1)
	o.granter.Loop.Post(func() { lines <- strings.Count(out.String(), "promises with values out of bounds") })
	if got, want := <-lines, 1; got != want {
		t.Errorf("log lines: got %d, want %d", got, want)
	}
}

// FuzzPromise guards against times that overflow or exceed their bounds, and against bounds
// that change valid values.
func FuzzPromise(f *testing.F) {
	f.Add(int64(500), int64(250), int64(20_000))
	f.Add(int64(-500), int64(0), int64(-1))
	f.Add(int64(math.MinInt64), int64(math.MinInt64), int64(math.MaxInt64))
	f.Fuzz(func(t *testing.T, first, between, remaining int64) {
		got, changed := granter.PromiseOf(&messenger.Promise{
			FirstTokenMs:    first,
			BetweenTokensMs: between,
			RemainingMs:     remaining,
		})
		if got.FirstToken.Abs() > time.Hour || got.Remaining.Abs() > time.Hour || got.BetweenTokens < 0 || got.BetweenTokens > time.Hour {
			t.Fatalf("got %+v, want times of at most an hour and no negative interval", got)
		}
		same := got.FirstToken.Milliseconds() == first && got.BetweenTokens.Milliseconds() == between && got.Remaining.Milliseconds() == remaining
		if changed == same {
			t.Fatalf("got changed %v for %d, %d, %d as %+v", changed, first, between, remaining, got)
		}
	})
}
