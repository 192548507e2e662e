package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhold.dev/router/scheduler"
)

// promisedAsk is mixedAsk with a promise.
func promisedAsk(i int) scheduler.Ask {
	a := mixedAsk(i)
	a.Promise = &scheduler.Promise{
		FirstToken:    500 * time.Millisecond,
		BetweenTokens: 200 * time.Millisecond,
		Remaining:     30 * time.Second,
	}
	return a
}

// fillPromised starts requests with promises until the given number waits, and returns the first
// free number.
func fillPromised(p *scheduler.Pool, now time.Time, waiting int) int {
	for i := 1; ; i++ {
		p.Ask(now, promisedAsk(i))
		if i%16 == 0 {
			p.Decide(now)
		}
		if p.Waiting() > waiting+16 {
			p.Decide(now)
			return i + 1
		}
	}
}

// manyWaiting is how many requests wait in a pool whose capacity is short for seconds.
const manyWaiting = 1000

// BenchmarkPromisedTicketSaturated measures one ticket, from request to release, while
// manyWaiting requests wait, half of them late.
func BenchmarkPromisedTicketSaturated(b *testing.B) {
	for _, n := range mixedSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p := newMixedPool(n)
			now := time.Unix(0, 0)
			i := fillPromised(p, now, manyWaiting/2)
			now = now.Add(600 * time.Millisecond)
			p.Decide(now)
			for range manyWaiting / 2 {
				i++
				p.Ask(now, promisedAsk(i))
			}
			released := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				released++
				p.Ask(now, promisedAsk(i))
				p.Decide(now)
				p.Release(now, promisedAsk(released).Request, scheduler.Outcome{Tokens: 100})
				p.Decide(now)
			}
		})
	}
}

// TestSaturatedOwnerSearchesForEveryPromise guards against an owner that searches a full pool for
// a chain for each waiting request, whenever a message arrives, because of their promises.
func TestSaturatedOwnerSearchesForEveryPromise(t *testing.T) {
	p := newMixedPool(190)
	now := time.Unix(0, 0)
	fillPromised(p, now, manyWaiting)
	waiting := p.Waiting()
	for name, at := range map[string]time.Time{
		"on time": now,
		"late":    now.Add(time.Second),
	} {
		calls := countLinks(p)
		if got := granted(p, at); len(got) > 0 {
			t.Fatalf("%s: got %d chains, want none", name, len(got))
		}
		// As without promises; the late requests are another queue.
		const maxSearches = 2 * 12
		if got, want := *calls, maxSearches*searchLinks; got > want {
			t.Errorf("%s, %d waiting: got %d links looked at, want %d at most", name, waiting, got, want)
		}
	}
}
