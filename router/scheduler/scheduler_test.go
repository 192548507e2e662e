package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/scheduler"
)

const layers = 12

// reports returns the reports of n endpoints. The model is split into three parts,
// which are assigned to the endpoints in turn.
func reports(n int) []scheduler.Report {
	var out []scheduler.Report
	for i := range n {
		from := identifier.Layer(i % 3 * 4)
		out = append(out, scheduler.Report{Runner: planner.Runner{
			Stage: identifier.Stage{
				EndpointIncarnation: identifier.EndpointIncarnation{
					Endpoint:    identifier.Endpoint(fmt.Sprintf("e%d", i)),
					Incarnation: 1,
				},
				From:    from,
				To:      from + 4,
				Version: "v1",
			},
			Slots:     4,
			TokenTime: time.Millisecond,
		}})
	}
	return out
}

func newPool(n int) *scheduler.Pool {
	p := &scheduler.Pool{}
	p.Configure(scheduler.Policy{
		Layers:  layers,
		Version: "v1",
		Ranks: map[identifier.Rank]declarer.Rank{
			"urgent": {
				BetweenTokens:   identifier.DurationOf(27 * time.Millisecond),
				GuaranteedShare: 0.3,
				QueueLimit:      50,
				MaxWait:         identifier.DurationOf(time.Second),
			},
			"batch": {
				Order:           1,
				BetweenTokens:   identifier.DurationOf(time.Second),
				GuaranteedShare: 0.1,
				QueueLimit:      50,
				MaxWait:         identifier.DurationOf(time.Minute),
			},
		},
	})
	p.SetRunners(reports(n))
	return p
}

func ask(id int, rank identifier.Rank) scheduler.Ask {
	return scheduler.Ask{
		Request:  identifier.Request(fmt.Sprintf("q%d", id)),
		Customer: identifier.Customer(fmt.Sprintf("c%d", id%5)),
		Rank:     rank,
		Tier:     identifier.Paying,
		Weight:   1,
		Prompt:   100,
		Output:   100,
	}
}

// TestPool runs random operations on a pool. It requires that every chain covers
// every layer once, that no endpoint exceeds its slots, and that every request is
// either waiting or decided exactly once.
func TestPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(6)
		now := time.Unix(0, 0)
		chains := make(map[identifier.Request][]identifier.Stage)
		used := make(map[identifier.EndpointIncarnation]int)
		decided := make(map[identifier.Request]bool)
		asked := 0
		release := func(r identifier.Request) {
			for _, s := range chains[r] {
				used[s.EndpointIncarnation]--
			}
			delete(chains, r)
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				asked++
				p.Ask(now, ask(asked, rapid.SampledFrom([]identifier.Rank{"urgent", "batch"}).Draw(t, "rank")))
			},
			"release": func(t *rapid.T) {
				for r, chain := range chains {
					o := scheduler.Outcome{Tokens: identifier.Tokens(rapid.IntRange(0, 200).Draw(t, "tokens"))}
					if rapid.Bool().Draw(t, "failed") {
						o.Failed = chain[0].EndpointIncarnation
					}
					p.Release(now, r, o)
					release(r)
					return
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, d := range p.Decide(now) {
					if d.Verdict == scheduler.Revoked {
						continue
					}
					if decided[d.Request] {
						t.Fatalf("request %s was granted or refused twice", d.Request)
					}
					decided[d.Request] = true
					if d.Verdict == scheduler.Refused {
						if classifier.ResponseOf(d.Kind).Ran != classifier.RanNo {
							t.Fatalf("got refusal kind %s, want a kind of request that did not run", d.Kind)
						}
						continue
					}
					if !planner.Check(d.Chain, layers, "v1") {
						t.Fatalf("got chain %v, want every layer once", d.Chain)
					}
					chains[d.Request] = d.Chain
					for _, s := range d.Chain {
						used[s.EndpointIncarnation]++
						if used[s.EndpointIncarnation] > 4 {
							t.Fatalf("got %d streams at %s, want 4 at most", used[s.EndpointIncarnation], s.EndpointIncarnation)
						}
					}
				}
				if len(decided)+p.Waiting() != asked {
					t.Fatalf("got %d granted or refused and %d waiting of %d requests", len(decided), p.Waiting(), asked)
				}
			},
		})
	})
}

// TestAllChainsFailed asks for a chain for a request that has failed on every
// endpoint. After a wait it may use any chain again. If the pool has no endpoints, a
// request is refused in the end and does not wait forever.
func TestAllChainsFailed(t *testing.T) {
	p := newPool(3)
	now := time.Unix(0, 0)
	a := ask(1, "urgent")
	a.Resumed = true
	for _, r := range reports(3) {
		a.Avoid = append(a.Avoid, r.EndpointIncarnation)
	}
	p.Ask(now, a)
	if got := p.Decide(now); len(got) != 0 {
		t.Errorf("got %v at once, want no decision yet", got)
	}
	got := p.Decide(now.Add(3 * time.Second))
	if len(got) != 1 || got[0].Verdict != scheduler.Granted {
		t.Errorf("got %v after 3 s, want one grant", got)
	}
	p.SetRunners(nil)
	p.Ask(now, scheduler.Ask{
		Request: "none",
		Rank:    "urgent",
		Resumed: true,
	})
	if got := p.Decide(now.Add(time.Minute)); len(got) != 1 || got[0].Kind != classifier.NoChain {
		t.Errorf("got %v after a minute without endpoints, want no-chain", got)
	}
}

// TestAdopt hands tickets in use to a new owner and requires that it grants no slot
// twice.
func TestAdopt(t *testing.T) {
	oldOwner, newOwner := newPool(3), newPool(3)
	now := time.Unix(0, 0)
	for i := range 4 {
		oldOwner.Ask(now, ask(i, "urgent"))
	}
	for i, d := range oldOwner.Decide(now) {
		newOwner.Adopt(now, scheduler.ActiveTicket{
			Ask:   ask(i, "urgent"),
			Chain: d.Chain,
		})
	}
	newOwner.Ask(now, ask(9, "urgent"))
	if got := newOwner.Decide(now); len(got) != 0 {
		t.Errorf("got %v, want none: all slots are in use", got)
	}
}

// BenchmarkTicket measures one ticket, from request to release, at the owner of n
// endpoints.
func BenchmarkTicket(b *testing.B) {
	for _, n := range []int{9, 30, 99} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p := newPool(n)
			now := time.Unix(0, 0)
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				a := ask(i, "urgent")
				p.Ask(now, a)
				p.Decide(now)
				p.Release(now, a.Request, scheduler.Outcome{Tokens: 100})
			}
			size := proto.Size(&messenger.ToOwner{Asks: []*messenger.Ask{{
				Request:      "0b5f4b0e-4f0a-4a4e-9a5e-000000000000.0",
				Customer:     "customer-00001",
				Rank:         "urgent",
				Weight:       1,
				PromptTokens: 100,
				OutputTokens: 100,
				Prefix:       1 << 60,
				DataCentre:   "torrelavega",
				Version:      "v1",
				Terms: &messenger.Terms{
					Order:           1,
					BetweenTokensMs: 250,
					QueueLimit:      400,
					MaxWaitMs:       1000,
				},
			}}})
			b.ReportMetric(float64(size), "ask-bytes")
		})
	}
}

// TestOneFaultManyStreams requires that an endpoint that breaks many streams at
// once is paused for as long as after one broken stream, and no longer.
func TestOneFaultManyStreams(t *testing.T) {
	p := newPool(3)
	now := time.Unix(0, 0)
	for i := range 4 {
		p.Ask(now, ask(i, "batch"))
	}
	decisions := p.Decide(now)
	for _, d := range decisions {
		p.Release(now, d.Request, scheduler.Outcome{Failed: d.Chain[1].EndpointIncarnation})
	}
	p.Ask(now, ask(9, "batch"))
	got := time.Duration(0)
	for ; got < time.Minute; got += 100 * time.Millisecond {
		if len(p.Decide(now.Add(got))) > 0 {
			break
		}
	}
	if want := 1100 * time.Millisecond; len(decisions) != 4 || got > want {
		t.Errorf("got %d broken streams and a pause of %v, want 4 and at most %v", len(decisions), got, want)
	}
}

// newTerms returns the terms of a rank without a guaranteed share of the pool.
func newTerms(order int) declarer.Rank {
	return declarer.Rank{
		Order:         order,
		BetweenTokens: identifier.DurationOf(time.Second),
		QueueLimit:    50,
		MaxWait:       identifier.DurationOf(time.Minute),
	}
}

// configureRanks configures p with a policy that declares ranks.
func configureRanks(p *scheduler.Pool, ranks map[identifier.Rank]declarer.Rank) {
	p.Configure(scheduler.Policy{
		Layers:  layers,
		Version: "v1",
		Ranks:   ranks,
	})
}

// TestTermsOfUndeclaredRank requires that a rank that the policy does not declare is
// scheduled by the terms that the entry instance sends, or by those of the least
// urgent declared rank if it sends none.
func TestTermsOfUndeclaredRank(t *testing.T) {
	now := time.Unix(0, 0)
	urgent, lessUrgent := newTerms(0), newTerms(9)
	for name, test := range map[string]struct {
		terms *declarer.Rank
		want  identifier.Request
	}{
		"more urgent": {terms: &urgent, want: "q2"},
		"less urgent": {terms: &lessUrgent, want: "q1"},
		"no terms":    {want: "q1"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(0)
			configureRanks(p, map[identifier.Rank]declarer.Rank{"batch": newTerms(5)})
			a, b := ask(1, "batch"), ask(2, "new")
			b.Terms = test.terms
			p.Ask(now, a)
			p.Ask(now, b)
			if got := firstGranted(p, now); got != test.want {
				t.Errorf("first grant: got %q, want %q", got, test.want)
			}
		})
	}
}

// TestDroppedRankKeepsItsOrder guards against requests of a rank that a
// configuration change removes being scheduled as the most urgent.
func TestDroppedRankKeepsItsOrder(t *testing.T) {
	now := time.Unix(0, 0)
	p := newPool(0)
	configureRanks(p, map[identifier.Rank]declarer.Rank{"batch": newTerms(5)})
	p.Ask(now, ask(1, "batch"))
	configureRanks(p, map[identifier.Rank]declarer.Rank{"urgent": newTerms(1)})
	p.Ask(now, ask(2, "urgent"))
	if got, want := firstGranted(p, now), identifier.Request("q2"); got != want {
		t.Errorf("first grant: got %q, want %q", got, want)
	}
}

// firstGranted sets the pool's endpoints and returns the first request that starts.
func firstGranted(p *scheduler.Pool, now time.Time) identifier.Request {
	p.SetRunners(reports(3))
	for _, d := range p.Decide(now) {
		if d.Verdict == scheduler.Granted {
			return d.Request
		}
	}
	return ""
}
