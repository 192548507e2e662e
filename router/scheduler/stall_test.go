package scheduler_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/scheduler"
)

// granted returns the requests that get a chain now, and their chains.
func granted(p *scheduler.Pool, now time.Time) map[identifier.Request][]identifier.Stage {
	out := make(map[identifier.Request][]identifier.Stage)
	for _, d := range p.Decide(now) {
		if d.Verdict == scheduler.Granted {
			out[d.Request] = d.Chain
		}
	}
	return out
}

// TestStalledRequestHoldsPlaces guards against a request without progress that keeps the
// places of its chain from others, and against one that goes on and is not counted.
func TestStalledRequestHoldsPlaces(t *testing.T) {
	const slots = 4
	now := time.Unix(0, 0)
	p := newPool(3)
	for i := range slots + 1 {
		p.Ask(now, ask(i, "urgent"))
	}
	chains := granted(p, now)
	if got := len(chains); got != slots {
		t.Fatalf("got %d requests with a chain, want %d", got, slots)
	}
	elsewhere := identifier.EndpointIncarnation{
		Endpoint:    "elsewhere",
		Incarnation: 1,
	}
	p.Stall(now, "q0", elsewhere)
	if _, ok := granted(p, now)["q4"]; !ok {
		t.Error("the waiting request got no chain beside a stalled one, want one")
	}
	p.Adopt(now, scheduler.ActiveTicket{
		Ask:   ask(0, "urgent"),
		Chain: chains["q0"],
	})
	p.Release(now, "q4", scheduler.Outcome{})
	p.Ask(now, ask(5, "urgent"))
	if _, ok := granted(p, now)["q5"]; ok {
		t.Error("a request got the places of one that goes on, want it to wait")
	}
	p.Stall(now, "q0", elsewhere)
	p.Release(now, "q0", scheduler.Outcome{})
	p.Release(now, "q1", scheduler.Outcome{})
	p.Ask(now, ask(6, "urgent"))
	p.Ask(now, ask(7, "urgent"))
	if got, want := len(granted(p, now)), 2; got != want {
		t.Errorf("got %d requests with a chain after two were released, want %d", got, want)
	}
}
