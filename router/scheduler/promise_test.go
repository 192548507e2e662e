package scheduler_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/scheduler"
)

// rankOf returns the rank of an order as the configuration of a platform makes it: the
// target is the smallest of its routes, and the longest wait twice the target.
func rankOf(order int, target, interval time.Duration) declarer.Rank {
	return declarer.Rank{
		Order:           order,
		FirstToken:      identifier.DurationOf(target),
		BetweenTokens:   identifier.DurationOf(interval),
		GuaranteedShare: 0.1,
		QueueLimit:      400,
		MaxWait:         identifier.DurationOf(2 * target),
	}
}

// promising returns ask with a promise of a first token within target and a minute in all.
func promising(id int, rank identifier.Rank, target, interval time.Duration) scheduler.Ask {
	a := ask(id, rank)
	a.Promise = &scheduler.Promise{
		FirstToken:    target,
		BetweenTokens: interval,
		Remaining:     time.Minute,
	}
	return a
}

// slowReports returns the reports of three endpoints that together take 300 ms for a token.
func slowReports() []scheduler.Report {
	out := reports(3)
	for i := range out {
		out[i].TokenTime = 100 * time.Millisecond
	}
	return out
}

// grantedAfter asks for a and returns how long it waits for a chain while one is free; 10 s
// if it gets none.
func grantedAfter(p *scheduler.Pool, a scheduler.Ask) time.Duration {
	start := time.Unix(100, 0)
	p.Ask(start, a)
	d := time.Duration(0)
	for ; d < 10*time.Second; d += 5 * time.Millisecond {
		for _, decision := range p.Decide(start.Add(d)) {
			if decision.Request == a.Request && decision.Verdict == scheduler.Granted {
				return d
			}
		}
	}
	return d
}

// TestCustomerOrderWithoutRouteWaits guards against customers with an order that no route
// has waiting, while a chain is free, for one that meets a token interval of 0: their rank has no
// interval.
func TestCustomerOrderWithoutRouteWaits(t *testing.T) {
	customerOnly := rankOf(0, 500*time.Millisecond, 0)
	customerOnly.CustomerOnly = true
	for name, a := range map[string]scheduler.Ask{
		"promise":    promising(1, "order-0", 500*time.Millisecond, 400*time.Millisecond),
		"no promise": ask(1, "order-0"),
		"no pause":   promising(1, "order-0", 500*time.Millisecond, 0),
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(0)
			configureRanks(p, map[identifier.Rank]declarer.Rank{
				"order-0": customerOnly,
				"order-1": rankOf(1, 500*time.Millisecond, 400*time.Millisecond),
			})
			p.SetRunners(slowReports())
			if got := grantedAfter(p, a); got > 0 {
				t.Errorf("got a chain after %v, want it at once", got)
			}
		})
	}
}

// TestPromisesUnderOneRank guards against a request that waits by the target of another
// route of its rank.
func TestPromisesUnderOneRank(t *testing.T) {
	for _, target := range []time.Duration{500 * time.Millisecond, time.Second} {
		p := newPool(0)
		configureRanks(p, map[identifier.Rank]declarer.Rank{"order-1": rankOf(1, 500*time.Millisecond, 250*time.Millisecond)})
		p.SetRunners(slowReports())
		if got, want := grantedAfter(p, promising(1, "order-1", target, 250*time.Millisecond)), target; got > want || got == 0 {
			t.Errorf("target %v: got a slow chain after %v, want it later than at once and within the target", target, got)
		}
		if got := grantedAfter(p, promising(2, "order-1", target, 350*time.Millisecond)); got > 0 {
			t.Errorf("target %v: got a chain that meets the interval after %v, want it at once", target, got)
		}
	}
}

// TestOrdersOfCustomersBetweenRoutes requires that requests are served in order also where
// some orders belong to customers only.
func TestOrdersOfCustomersBetweenRoutes(t *testing.T) {
	now := time.Unix(0, 0)
	p := newPool(0)
	ranks := map[identifier.Rank]declarer.Rank{
		"order-1": rankOf(1, time.Second, time.Second),
		"order-3": rankOf(3, time.Second, time.Second),
	}
	for order, name := range map[int]identifier.Rank{2: "order-2", 5: "order-5"} {
		r := rankOf(order, time.Second, 0)
		r.GuaranteedShare = 0
		r.CustomerOnly = true
		ranks[name] = r
	}
	configureRanks(p, ranks)
	one := reports(3)
	for i := range one {
		one[i].Slots = 1
	}
	p.SetRunners(one)
	p.Ask(now, promising(0, "order-3", time.Second, 0))
	held := "q0"
	p.Decide(now)
	want := []identifier.Rank{"order-1", "order-2", "order-3", "order-5"}
	for i := len(want); i > 0; i-- {
		p.Ask(now, promising(i, want[i-1], time.Second, 0))
	}
	for i := range want {
		p.Release(now, identifier.Request(held), scheduler.Outcome{})
		got := granted(p, now)
		next := ask(i+1, "").Request
		if _, ok := got[next]; !ok || len(got) != 1 {
			t.Fatalf("grant %d: got %v, want %s of %s", i, got, next, want[i])
		}
		held = string(next)
	}
}

// TestIdleCustomerRankKeepsShare guards against a rank that only a customer has taking a
// part of the guaranteed shares of the others while it has no requests: the requests of a
// class with a share are not refused as long as the share serves them in time.
func TestIdleCustomerRankKeepsShare(t *testing.T) {
	// Refusals of 40 requests of order 2 behind a full queue of order 1, with and without
	// ranks that only customers have.
	refused := func(customerRanks int) int {
		const total = 0.3
		p := newPool(0)
		ranks := map[identifier.Rank]declarer.Rank{
			"order-1": rankOf(1, 2*time.Second, 0),
			"order-2": rankOf(2, 2*time.Second, 0),
		}
		for i := range customerRanks {
			r := rankOf(10+i, time.Second, 0)
			r.CustomerOnly = true
			ranks[identifier.Rank(string(rune('a'+i)))] = r
		}
		for name, r := range ranks {
			r.GuaranteedShare = total / float64(len(ranks))
			ranks[name] = r
		}
		configureRanks(p, ranks)
		p.SetRunners(slowReports())
		now := time.Unix(0, 0)
		n := 0
		for i := range 140 {
			rank := identifier.Rank("order-1")
			if i >= 100 {
				rank = "order-2"
			}
			a := ask(i, rank)
			a.Prompt = 0
			a.Output = 1
			p.Ask(now, a)
			for _, d := range p.Decide(now) {
				if d.Verdict == scheduler.Refused && rank == "order-2" {
					n++
				}
			}
		}
		return n
	}
	want := refused(0)
	if got := refused(8); got != want {
		t.Errorf("got %d refusals beside eight idle ranks of customers, want %d as without them", got, want)
	}
	if want == 0 {
		t.Error("got no refusals, want some: the test shows nothing")
	}
}

// TestAskOfOlderBuild requires that an ask without a promise is scheduled by the terms of its
// rank, declared or sent.
func TestAskOfOlderBuild(t *testing.T) {
	terms := rankOf(1, 300*time.Millisecond, 250*time.Millisecond)
	for name, ranks := range map[string]map[identifier.Rank]declarer.Rank{
		"declared": {"order-1": terms},
		"sent":     {"order-2": rankOf(2, time.Second, time.Second)},
	} {
		p := newPool(0)
		configureRanks(p, ranks)
		p.SetRunners(slowReports())
		a := ask(1, "order-1")
		a.Terms = &terms
		if got, want := grantedAfter(p, a), 300*time.Millisecond; got != want {
			t.Errorf("%s: got a slow chain after %v, want %v: half of the rank's longest wait", name, got, want)
		}
	}
}
