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

// reports describes n endpoints that hold the model in three parts by turns.
func reports(n int) []scheduler.Report {
	var out []scheduler.Report
	for i := range n {
		from := identifier.Layer(i % 3 * 4)
		out = append(out, scheduler.Report{Runner: planner.Runner{
			Stage: identifier.Stage{
				Life: identifier.Life{
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

// TestPool drives a pool at random: every chain covers every layer once, no
// endpoint is over its slots, and every request is answered exactly once.
func TestPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(6)
		now := time.Unix(0, 0)
		held := make(map[identifier.Request][]identifier.Stage)
		used := make(map[identifier.Life]int)
		answered := make(map[identifier.Request]bool)
		asked := 0
		release := func(r identifier.Request) {
			for _, s := range held[r] {
				used[s.Life]--
			}
			delete(held, r)
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				asked++
				p.Ask(now, ask(asked, rapid.SampledFrom([]identifier.Rank{"urgent", "batch"}).Draw(t, "rank")))
			},
			"release": func(t *rapid.T) {
				for r, chain := range held {
					o := scheduler.Outcome{Tokens: identifier.Tokens(rapid.IntRange(0, 200).Draw(t, "tokens"))}
					if rapid.Bool().Draw(t, "failed") {
						o.Failed = chain[0].Life
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
					if answered[d.Request] {
						t.Fatalf("request %s was answered twice", d.Request)
					}
					answered[d.Request] = true
					if d.Verdict == scheduler.Refused {
						if classifier.AnswerOf(d.Kind).Ran != classifier.RanNo {
							t.Fatalf("got refusal %s, want one that did not run", d.Kind)
						}
						continue
					}
					if !planner.Check(d.Chain, layers, "v1") {
						t.Fatalf("got chain %v, want every layer once", d.Chain)
					}
					held[d.Request] = d.Chain
					for _, s := range d.Chain {
						used[s.Life]++
						if used[s.Life] > 4 {
							t.Fatalf("got %d streams at %s, want 4 at most", used[s.Life], s.Life)
						}
					}
				}
				if len(answered)+p.Waiting() != asked {
					t.Fatalf("got %d answered and %d waiting of %d asked", len(answered), p.Waiting(), asked)
				}
			},
		})
	})
}

// TestAllChainsFailed has a request whose every chain failed it: after a while
// any will do, and in the end it is refused and not kept for ever.
func TestAllChainsFailed(t *testing.T) {
	p := newPool(3)
	now := time.Unix(0, 0)
	a := ask(1, "urgent")
	a.Resumed = true
	for _, r := range reports(3) {
		a.Avoid = append(a.Avoid, r.Life)
	}
	p.Ask(now, a)
	if got := p.Decide(now); len(got) != 0 {
		t.Errorf("got %v at once, want a wait", got)
	}
	got := p.Decide(now.Add(3 * time.Second))
	if len(got) != 1 || got[0].Verdict != scheduler.Granted {
		t.Errorf("got %v after 3 s, want a chain", got)
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

// TestAdopt hands tickets in use to a new owner: it grants no slot twice.
func TestAdopt(t *testing.T) {
	old, next := newPool(3), newPool(3)
	now := time.Unix(0, 0)
	for i := range 4 {
		old.Ask(now, ask(i, "urgent"))
	}
	for i, d := range old.Decide(now) {
		next.Adopt(now, scheduler.Held{
			Ask:   ask(i, "urgent"),
			Chain: d.Chain,
		})
	}
	next.Ask(now, ask(9, "urgent"))
	if got := next.Decide(now); len(got) != 0 {
		t.Errorf("got %v, want none: all slots are in use", got)
	}
}

// BenchmarkTicket is one ticket's life at the owner of n endpoints.
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
// once gets no work for as long as after one broken stream, and no longer.
func TestOneFaultManyStreams(t *testing.T) {
	p := newPool(3)
	now := time.Unix(0, 0)
	for i := range 4 {
		p.Ask(now, ask(i, "batch"))
	}
	decisions := p.Decide(now)
	for _, d := range decisions {
		p.Release(now, d.Request, scheduler.Outcome{Failed: d.Chain[1].Life})
	}
	p.Ask(now, ask(9, "batch"))
	got := time.Duration(0)
	for ; got < time.Minute; got += 100 * time.Millisecond {
		if len(p.Decide(now.Add(got))) > 0 {
			break
		}
	}
	if want := 1100 * time.Millisecond; len(decisions) != 4 || got > want {
		t.Errorf("%d streams broken: got no work for %v, want 4 and at most %v", len(decisions), got, want)
	}
}

// terms are a rank's that keeps no share of the pool.
func terms(order int) declarer.Rank {
	return declarer.Rank{
		Order:         order,
		BetweenTokens: identifier.DurationOf(time.Second),
		QueueLimit:    50,
		MaxWait:       identifier.DurationOf(time.Minute),
	}
}

// declare puts ranks in force.
func declare(p *scheduler.Pool, ranks map[identifier.Rank]declarer.Rank) {
	p.Configure(scheduler.Policy{
		Layers:  layers,
		Version: "v1",
		Ranks:   ranks,
	})
}

// TestTermsOfUnknownRank requires that a rank that the policy does not know is
// scheduled by what the entry tells of it.
func TestTermsOfUnknownRank(t *testing.T) {
	now := time.Unix(0, 0)
	urgent, late := terms(0), terms(9)
	for name, test := range map[string]struct {
		terms *declarer.Rank
		want  identifier.Request
	}{
		"more urgent": {terms: &urgent, want: "q2"},
		"less urgent": {terms: &late, want: "q1"},
		"not told":    {want: "q1"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(0)
			declare(p, map[identifier.Rank]declarer.Rank{"batch": terms(5)})
			a, b := ask(1, "batch"), ask(2, "new")
			b.Terms = test.terms
			p.Ask(now, a)
			p.Ask(now, b)
			if got := granted(p, now); got != test.want {
				t.Errorf("first: got %q, want %q", got, test.want)
			}
		})
	}
}

// TestDroppedRankKeepsItsPlace guards against work of a rank that a change drops
// passing as the most urgent.
func TestDroppedRankKeepsItsPlace(t *testing.T) {
	now := time.Unix(0, 0)
	p := newPool(0)
	declare(p, map[identifier.Rank]declarer.Rank{"batch": terms(5)})
	p.Ask(now, ask(1, "batch"))
	declare(p, map[identifier.Rank]declarer.Rank{"urgent": terms(1)})
	p.Ask(now, ask(2, "urgent"))
	if got, want := granted(p, now), identifier.Request("q2"); got != want {
		t.Errorf("first: got %q, want %q", got, want)
	}
}

// granted gives the pool endpoints and returns the first request that starts.
func granted(p *scheduler.Pool, now time.Time) identifier.Request {
	p.SetRunners(reports(3))
	for _, d := range p.Decide(now) {
		if d.Verdict == scheduler.Granted {
			return d.Request
		}
	}
	return ""
}
