package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/scheduler"
)

// caller is one request of a simulated load, and what its caller sees.
type caller struct {
	ask      scheduler.Ask
	at       time.Duration
	response identifier.Tokens
	// granted is when the request got a chain, and first when its first token arrived; both
	// are negative if it was refused, and refused is when that was.
	granted time.Duration
	first   time.Duration
	refused time.Duration
	after   time.Duration
	kind    classifier.Kind
}

// onTime reports whether the first token arrived within the target.
func (c *caller) onTime() bool {
	return c.first >= 0 && c.first-c.at <= c.ask.Promise.FirstToken
}

// late reports whether the request was served, but late.
func (c *caller) late() bool {
	return c.first >= 0 && !c.onTime()
}

// releases are the requests that run, the next to end first.
type releases []release

type release struct {
	at     time.Duration
	caller *caller
}

func (r releases) Len() int           { return len(r) }
func (r releases) Less(i, j int) bool { return r[i].at < r[j].at }
func (r releases) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *releases) Push(x any)        { *r = append(*r, x.(release)) }
func (r *releases) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

const (
	// simulatedMemory is the memory of each simulated endpoint, in tokens. Its slots are more
	// than the memory suffices for.
	simulatedMemory  = 10_000
	simulatedSlots   = 400
	simulatedToken   = 10 * time.Millisecond
	simulatedPrefill = 10 * time.Microsecond
	// simulatedWay is what the scheduler doesn't know: the way to the endpoints and back.
	simulatedWay      = 80 * time.Millisecond
	simulatedTarget   = 500 * time.Millisecond
	simulatedStep     = 5 * time.Millisecond
	simulatedDuration = 10 * time.Second
)

// simulatedPool returns a pool with three stages whose memory is the scarce resource.
func simulatedPool(ranks map[identifier.Rank]declarer.Rank) *scheduler.Pool {
	r := rand.New(rand.NewPCG(11, 11))
	p := &scheduler.Pool{Random: r.Float64}
	configureRanks(p, ranks)
	stages := reports(3)
	for i := range stages {
		stages[i].Slots = simulatedSlots
		stages[i].MemoryTokens = simulatedMemory
		stages[i].TokenTime = simulatedToken / 3
		stages[i].PrefillTime = simulatedPrefill / 3
	}
	p.SetRunners(stages)
	return p
}

// simulate plays the callers, in the order of their arrival, until all are decided and no
// request runs. A run takes as long as the endpoints state, and simulatedWay.
func simulate(t *testing.T, p *scheduler.Pool, callers []*caller) {
	t.Helper()
	start := time.Unix(1000, 0)
	byRequest := make(map[identifier.Request]*caller)
	var running releases
	next, decided := 0, 0
	for now := time.Duration(0); decided < len(callers) || len(running) > 0; now += simulatedStep {
		if now > 10*time.Minute {
			t.Fatalf("%d of %d requests were decided after %v", decided, len(callers), now)
		}
		for len(running) > 0 && running[0].at <= now {
			r := heap.Pop(&running).(release)
			p.Release(start.Add(now), r.caller.ask.Request, scheduler.Outcome{Tokens: r.caller.response})
		}
		for ; next < len(callers) && callers[next].at <= now; next++ {
			c := callers[next]
			c.granted, c.first, c.refused = -1, -1, -1
			byRequest[c.ask.Request] = c
			p.Ask(start.Add(now), c.ask)
		}
		for _, d := range p.Decide(start.Add(now)) {
			c := byRequest[d.Request]
			switch d.Verdict {
			case scheduler.Granted:
				decided++
				c.granted = now
				c.first = now + simulatedWay + time.Duration(c.ask.Prompt)*simulatedPrefill + simulatedToken
				heap.Push(&running, release{
					at:     c.first + time.Duration(c.response-1)*simulatedToken,
					caller: c,
				})
			case scheduler.Refused:
				decided++
				c.refused = now
				c.after = d.RetryAfter
				c.kind = d.Kind
			case scheduler.Revoked:
				t.Fatalf("request %s was revoked", d.Request)
			}
		}
	}
}

// load returns callers that arrive evenly over simulatedDuration and need demand times the
// tokens that the simulated pool has memory for. size returns the prompt and the response of the
// i-th request.
func load(demand float64, remaining time.Duration, size func(i int) (prompt, response identifier.Tokens)) []*caller {
	var out []*caller
	at := time.Duration(0)
	for i := 0; at < simulatedDuration; i++ {
		prompt, response := size(i)
		out = append(out, &caller{
			ask: scheduler.Ask{
				Request:  identifier.Request(fmt.Sprintf("q%05d", i)),
				Customer: identifier.Customer(fmt.Sprintf("c%d", i%5)),
				Rank:     "order-1",
				Tier:     identifier.Paying,
				Weight:   1,
				Prompt:   prompt,
				Output:   response,
				Promise: &scheduler.Promise{
					FirstToken: simulatedTarget,
					Remaining:  remaining,
				},
			},
			at:       at,
			response: response,
		})
		// The memory is reserved for the prompt and half of the response while it runs.
		held := simulatedWay + time.Duration(prompt)*simulatedPrefill + time.Duration(response)*simulatedToken
		share := float64(prompt+response/2) / simulatedMemory
		at += time.Duration(share * float64(held) / demand)
	}
	return out
}

func usual(int) (prompt, response identifier.Tokens) { return 300, 60 }

// count returns the shares of callers that were served on time, late and not at all.
func count(callers []*caller, match func(*caller) bool) (onTime, late, refused float64) {
	n := 0
	for _, c := range callers {
		if !match(c) {
			continue
		}
		n++
		switch {
		case c.onTime():
			onTime++
		case c.late():
			late++
		default:
			refused++
		}
	}
	return onTime / float64(n), late / float64(n), refused / float64(n)
}

func all(*caller) bool { return true }

func oneRank() map[identifier.Rank]declarer.Rank {
	return map[identifier.Rank]declarer.Rank{"order-1": rankOf(1, simulatedTarget, 0)}
}

// TestScarcityServesAllLate guards against a queue in order of arrival that serves each
// request late once the memory doesn't suffice, and against refusals of requests whose
// deadline leaves time.
func TestScarcityServesAllLate(t *testing.T) {
	callers := load(1.5, time.Minute, usual)
	simulate(t, simulatedPool(oneRank()), callers)
	onTime, late, refused := count(callers, all)
	t.Logf("%d requests: %.3f on time, %.3f late, %.3f refused", len(callers), onTime, late, refused)
	// The memory suffices for two thirds.
	if onTime < 0.60 {
		t.Errorf("share on time: got %.3f, want 0.60", onTime)
	}
	if refused > 0 {
		t.Errorf("share refused: got %.3f, want none: the deadlines leave time", refused)
	}
	for i := range 5 {
		customer := identifier.Customer(fmt.Sprintf("c%d", i))
		got, _, _ := count(callers, func(c *caller) bool { return c.ask.Customer == customer })
		if got < onTime-0.1 || got > onTime+0.1 {
			t.Errorf("%s: got a share of %.3f on time, want about %.3f as all", customer, got, onTime)
		}
	}
}

// TestScarcityWithShortDeadlines requires that requests that find no capacity before their
// deadline are refused early, as not run, and that none is served after its deadline.
func TestScarcityWithShortDeadlines(t *testing.T) {
	const remaining = 2 * time.Second
	callers := load(1.5, remaining, usual)
	simulate(t, simulatedPool(oneRank()), callers)
	onTime, late, refused := count(callers, all)
	t.Logf("%d requests: %.3f on time, %.3f late, %.3f refused", len(callers), onTime, late, refused)
	if onTime < 0.60 {
		t.Errorf("share on time: got %.3f, want 0.60", onTime)
	}
	spread := make(map[time.Duration]bool)
	for _, c := range callers {
		run := time.Duration(c.ask.Prompt)*simulatedPrefill + time.Duration(c.response)*simulatedToken
		if c.first >= 0 && c.granted+run > c.at+remaining+simulatedStep {
			t.Errorf("%s: got a chain %v after it came, want it refused: its run takes %v", c.ask.Request, c.granted-c.at, run)
		}
		if c.refused < 0 {
			continue
		}
		if c.kind != classifier.Overloaded {
			t.Errorf("%s: got kind %s, want %s", c.ask.Request, c.kind, classifier.Overloaded)
		}
		if latest := remaining - run + 2*simulatedStep; c.refused-c.at > latest+50*time.Millisecond {
			t.Errorf("%s: refused after %v, want %v at most", c.ask.Request, c.refused-c.at, latest)
		}
		spread[c.after] = true
	}
	if refused == 0 {
		t.Error("got no refusals, want some: the test shows nothing")
	}
	if got, want := float64(len(spread)), 0.9*refused*float64(len(callers)); got < want {
		t.Errorf("times to return: got %.0f different ones, want at least %.0f", got, want)
	}
}

// TestScarcityKeepsOrder requires that the more urgent rank is served on time while the
// memory doesn't suffice for both.
func TestScarcityKeepsOrder(t *testing.T) {
	callers := load(1.5, time.Minute, usual)
	for i, c := range callers {
		c.ask.Rank = identifier.Rank(fmt.Sprintf("order-%d", 1+i%2))
	}
	ranks := oneRank()
	ranks["order-2"] = rankOf(2, simulatedTarget, 0)
	simulate(t, simulatedPool(ranks), callers)
	for rank, least := range map[identifier.Rank]float64{"order-1": 0.95, "order-2": 0.15} {
		onTime, late, refused := count(callers, func(c *caller) bool { return c.ask.Rank == rank })
		t.Logf("%s: %.3f on time, %.3f late, %.3f refused", rank, onTime, late, refused)
		if onTime < least {
			t.Errorf("%s: got a share of %.3f on time, want %.2f", rank, onTime, least)
		}
	}
}

// TestRetryAfterOfRefusals guards against times to return that don't grow with the queue, and
// against ones that are equal for all callers that are refused together.
func TestRetryAfterOfRefusals(t *testing.T) {
	random := 0.0
	p := simulatedPool(oneRank())
	p.Random = func() float64 { return random }
	now := time.Unix(0, 0)
	refuse := func(name identifier.Request) time.Duration {
		a := promising(1, "order-1", simulatedTarget, 0)
		a.Request = name
		a.Prompt = 300
		a.Promise.Remaining = 300 * time.Millisecond
		p.Ask(now, a)
		for _, d := range p.Decide(now) {
			if d.Request == name && d.Verdict == scheduler.Refused {
				return d.RetryAfter
			}
		}
		t.Fatalf("%s was not refused at once", name)
		return 0
	}
	fillQueue := func(first, n int) {
		for i := range n {
			a := promising(first+i, "order-1", simulatedTarget, 0)
			a.Prompt = 300
			p.Ask(now, a)
		}
		p.Decide(now)
	}
	fillQueue(0, 100)
	short := refuse("a")
	fillQueue(100, 100)
	long := refuse("b")
	random = 0.999
	jittered := refuse("c")
	if short <= 0 || long <= short {
		t.Errorf("got %v behind a short queue and %v behind a long one, want the second longer", short, long)
	}
	if ratio := float64(jittered) / float64(long); ratio < 1.49 || ratio > 1.5 {
		t.Errorf("got a factor of %.3f for the largest random number, want 1.5", ratio)
	}
}

// TestLateRequestsFillQueue guards against refusing a request that can be on time because the
// queue of its customer is full of late ones.
func TestLateRequestsFillQueue(t *testing.T) {
	rank := rankOf(1, simulatedTarget, 0)
	rank.QueueLimit = 3
	p := simulatedPool(map[identifier.Rank]declarer.Rank{"order-1": rank})
	now := time.Unix(0, 0)
	asked := func(name identifier.Request) {
		a := promising(1, "order-1", simulatedTarget, 0)
		a.Request = name
		a.Prompt = simulatedMemory - 100
		p.Ask(now, a)
	}
	for _, r := range []identifier.Request{"runs", "a", "b", "c"} {
		asked(r)
		p.Decide(now)
	}
	now = now.Add(time.Second)
	p.Decide(now)
	asked("d")
	got := p.Decide(now)
	if len(got) != 1 || got[0].Verdict != scheduler.Refused || got[0].Request != "c" || got[0].Kind != classifier.Overloaded {
		t.Fatalf("got %+v, want a refusal of the last late request", got)
	}
	p.Release(now, "runs", scheduler.Outcome{Tokens: 1})
	if got, want := p.Decide(now), identifier.Request("d"); len(got) != 1 || got[0].Request != want || got[0].Verdict != scheduler.Granted {
		t.Errorf("got %+v, want a chain for %s, which can be on time", got, want)
	}
}

// TestCallersLeaveInQueue guards against requests that wait until their callers, who leave
// long before the deadline if they receive nothing, are gone.
func TestCallersLeaveInQueue(t *testing.T) {
	const patience = 4 * simulatedTarget
	callers := load(2, time.Minute, usual)
	for _, c := range callers {
		c.ask.Promise.Patience = patience
	}
	// The memory suffices for half.
	simulate(t, simulatedPool(oneRank()), callers)
	onTime, late, refused := count(callers, all)
	t.Logf("%d requests: %.3f on time, %.3f late, %.3f refused", len(callers), onTime, late, refused)
	if onTime < 0.45 {
		t.Errorf("share on time: got %.3f, want 0.45", onTime)
	}
	for _, c := range callers {
		if waited := max(c.first, c.refused) - c.at; waited > patience {
			t.Errorf("%s: got no answer for %v, want one within %v", c.ask.Request, waited, patience)
		}
	}
}

// TestSufficientCapacityServesAllOnTime guards against requests of any size that are late although
// the capacity suffices for all.
func TestSufficientCapacityServesAllOnTime(t *testing.T) {
	callers := load(0.8, time.Minute, mixed)
	simulate(t, simulatedPool(oneRank()), callers)
	onTime, late, refused := count(callers, all)
	t.Logf("%d requests: %.3f on time, %.3f late, %.3f refused", len(callers), onTime, late, refused)
	if onTime < 0.99 {
		t.Errorf("share on time: got %.3f, want 0.99", onTime)
	}
}

// TestPromisedRequests runs random operations with requests of all kinds of promises. It requires
// that each request is decided exactly once, within its deadline, that none is refused as
// run, and that no endpoint has more reserved than its memory.
func TestPromisedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := simulatedPool(map[identifier.Rank]declarer.Rank{
			"order-1": rankOf(1, simulatedTarget, 0),
			"order-2": rankOf(2, simulatedTarget, 0),
		})
		now := time.Unix(1000, 0)
		asks := make(map[identifier.Request]scheduler.Ask)
		deadlines := make(map[identifier.Request]time.Time)
		running := make(map[identifier.Request]bool)
		decided := make(map[identifier.Request]bool)
		milliseconds := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				a := ask(len(asks), rapid.SampledFrom([]identifier.Rank{"order-1", "order-2"}).Draw(t, "rank"))
				a.Prompt = identifier.Tokens(rapid.IntRange(0, simulatedMemory).Draw(t, "prompt"))
				a.Output = identifier.Tokens(rapid.IntRange(1, 500).Draw(t, "output"))
				a.OutputHint = identifier.Tokens(rapid.IntRange(0, 500).Draw(t, "hint"))
				a.Promise = &scheduler.Promise{
					FirstToken:    milliseconds("first", -1000, 1000),
					BetweenTokens: milliseconds("between", 0, 100),
					Remaining:     milliseconds("remaining", -100, 5000),
				}
				asks[a.Request] = a
				deadlines[a.Request] = now.Add(a.Promise.Remaining)
				p.Ask(now, a)
			},
			"release": func(t *rapid.T) {
				for i := range len(asks) {
					r := ask(i, "").Request
					if running[r] {
						p.Release(now, r, scheduler.Outcome{Tokens: identifier.Tokens(rapid.IntRange(0, 500).Draw(t, "tokens"))})
						delete(running, r)
						return
					}
				}
			},
			"pass": func(*rapid.T) {
				now = now.Add(milliseconds("passed", 1, 500))
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
						if classifier.ResponseOf(d.Kind).Ran != classifier.RanNo || d.RetryAfter <= 0 {
							t.Fatalf("got refusal %+v, want a kind of request that did not run and a time to return", d)
						}
						continue
					}
					running[d.Request] = true
					// A request is tried for a short time whatever the prediction says.
					if latest := deadlines[d.Request].Add(200 * time.Millisecond); now.After(latest) {
						t.Fatalf("request %s got a chain %v after its deadline", d.Request, now.Sub(deadlines[d.Request]))
					}
				}
				prompts := identifier.Tokens(0)
				for r := range running {
					prompts += asks[r].Prompt
				}
				if prompts > simulatedMemory {
					t.Fatalf("got prompts of %d tokens at once, want %d at most", prompts, simulatedMemory)
				}
				if got, want := p.Waiting()+len(decided), len(asks); got != want {
					t.Fatalf("got %d requests that wait or are decided, want %d", got, want)
				}
			},
		})
	})
}
