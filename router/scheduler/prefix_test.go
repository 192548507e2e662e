package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/scheduler"
)

// readers returns the reports of n endpoints that each hold all layers and read a prompt token
// in 100 µs.
func readers(n int) []scheduler.Report {
	out := reports(n)
	for i := range out {
		out[i].From, out[i].To = 0, layers
		out[i].Slots = 64
		out[i].PrefillTime = 100 * time.Microsecond
	}
	return out
}

// newReaders returns a pool of n readers.
func newReaders(n int) *scheduler.Pool {
	p := newPool(0)
	p.SetRunners(readers(n))
	return p
}

// beginningAsk returns a request whose prompt of 1,000 tokens starts with a beginning.
func beginningAsk(id int, prefix uint64, tokens identifier.Tokens) scheduler.Ask {
	a := ask(id, "batch")
	a.Prompt = 1000
	a.Output = 1
	a.Prefix = prefix
	a.PrefixTokens = tokens
	return a
}

// placed returns the first stage that is granted to a at now.
func placed(t *testing.T, p *scheduler.Pool, now time.Time, a scheduler.Ask) identifier.EndpointIncarnation {
	t.Helper()
	p.Ask(now, a)
	for _, d := range p.Decide(now) {
		if d.Request == a.Request && d.Verdict == scheduler.Granted {
			return d.Chain[0].EndpointIncarnation
		}
	}
	t.Fatalf("request %s got no chain", a.Request)
	return identifier.EndpointIncarnation{}
}

// TestWholePromptCountedAsCached guards against a request being sent to a longer queue because
// its whole prompt, and not only the shared beginning, counts as cached there.
func TestWholePromptCountedAsCached(t *testing.T) {
	for name, c := range map[string]struct {
		tokens identifier.Tokens
		stays  bool
	}{
		"long beginning":    {tokens: 990, stays: true},
		"short beginning":   {tokens: 20, stays: false},
		"length not stated": {tokens: 0, stays: false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newReaders(2)
			now := time.Unix(0, 0)
			first := placed(t, p, now, beginningAsk(0, 7, c.tokens))
			// When the first prompt is read but for 10 ms, the wait counts fourfold: 40 ms.
			now = now.Add(90 * time.Millisecond)
			got := placed(t, p, now, beginningAsk(1, 7, c.tokens)) == first
			if want := c.stays; got != want {
				t.Errorf("sent to the endpoint that ran the beginning: got %v, want %v", got, want)
			}
		})
	}
}

// engines are stand-ins for the endpoints of a pool: each reads prompts one after another, at
// its speed, and may keep the beginnings that it has read.
type engines struct {
	keeps bool
	held  map[identifier.EndpointIncarnation]map[uint64]bool
	busy  map[identifier.EndpointIncarnation]time.Time
	// saved is how many tokens weren't read, and started how many requests each endpoint got.
	saved   identifier.Tokens
	started map[identifier.EndpointIncarnation]int
}

func newEngines(keeps bool) *engines {
	return &engines{
		keeps:   keeps,
		held:    make(map[identifier.EndpointIncarnation]map[uint64]bool),
		busy:    make(map[identifier.EndpointIncarnation]time.Time),
		started: make(map[identifier.EndpointIncarnation]int),
	}
}

// read returns the time until the first event of a, which starts at an endpoint.
func (x *engines) read(now time.Time, e identifier.EndpointIncarnation, a scheduler.Ask) time.Duration {
	x.started[e]++
	tokens := a.Prompt
	if x.keeps && x.held[e][a.Prefix] {
		tokens -= a.PrefixTokens
		x.saved += a.PrefixTokens
	}
	if x.held[e] == nil {
		x.held[e] = make(map[uint64]bool)
	}
	x.held[e][a.Prefix] = true
	if x.busy[e].Before(now) {
		x.busy[e] = now
	}
	x.busy[e] = x.busy[e].Add(time.Duration(tokens)*100*time.Microsecond + time.Millisecond)
	return x.busy[e].Sub(now)
}

// play lets n requests arrive at a pool, one each interval. Their beginnings
// are drawn from next.
func (x *engines) play(t *testing.T, p *scheduler.Pool, n int, interval time.Duration, next func(i int) uint64) {
	t.Helper()
	type run struct {
		request identifier.Request
		end     time.Time
		first   time.Duration
	}
	var runs []run
	now := time.Unix(0, 0)
	for i := range n {
		now = now.Add(interval)
		left := runs[:0]
		for _, r := range runs {
			if r.end.After(now) {
				left = append(left, r)
				continue
			}
			p.Release(now, r.request, scheduler.Outcome{
				Tokens:     1,
				FirstEvent: r.first,
			})
		}
		runs = left
		a := beginningAsk(i, next(i), 800)
		e := placed(t, p, now, a)
		first := x.read(now, e, a)
		runs = append(runs, run{
			request: a.Request,
			end:     now.Add(first),
			first:   first,
		})
	}
}

// skewed returns a draw of beginnings of which few are frequent.
func skewed() func(int) uint64 {
	zipf := rand.NewZipf(rand.New(rand.NewPCG(11, 0)), 1.2, 1, 199)
	return func(int) uint64 { return zipf.Uint64() + 1 }
}

// TestSkewedBeginnings guards against beginnings being read anew where engines hold them.
func TestSkewedBeginnings(t *testing.T) {
	const n = 2000
	x, blind := newEngines(true), newEngines(true)
	x.play(t, newReaders(6), n, 20*time.Millisecond, skewed())
	next := skewed()
	p := newReaders(6)
	now := time.Unix(0, 0)
	for i := range n {
		// The same requests, whose beginnings the pool isn't told of.
		now = now.Add(20 * time.Millisecond)
		a := beginningAsk(i, next(i), 800)
		unknown := a
		unknown.PrefixTokens = 0
		blind.read(now, placed(t, p, now, unknown), a)
		p.Release(now.Add(10*time.Millisecond), a.Request, scheduler.Outcome{Tokens: 1})
	}
	t.Logf("saved %d tokens of %d, and %d if beginnings aren't known", x.saved, n*800, blind.saved)
	if x.saved <= blind.saved {
		t.Errorf("saved: got %d tokens, want more than the %d if beginnings aren't known", x.saved, blind.saved)
	}
}

// TestHotBeginning guards against a beginning that every caller requests accumulating at one
// endpoint. One that holds it needs 21 ms for a request.
func TestHotBeginning(t *testing.T) {
	const n, endpoints = 2000, 6
	for name, c := range map[string]struct {
		interval  time.Duration
		endpoints int
		most      int
	}{
		"one endpoint could serve nearly all": {interval: 20 * time.Millisecond, endpoints: 2, most: n / 2},
		"four endpoints are needed":           {interval: 5 * time.Millisecond, endpoints: endpoints, most: 2 * n / endpoints},
	} {
		t.Run(name, func(t *testing.T) {
			x := newEngines(true)
			x.play(t, newReaders(endpoints), n, c.interval, func(int) uint64 { return 7 })
			if got, want := len(x.started), c.endpoints; got < want {
				t.Errorf("endpoints that got requests: got %d, want at least %d", got, want)
			}
			for e, got := range x.started {
				if got > c.most {
					t.Errorf("%v: got %d of %d requests, want at most %d", e, got, n, c.most)
				}
			}
		})
	}
}

// TestEnginesThatKeepNothing guards against requests that wait at the endpoint that ran their
// beginning although the engines keep none, and against engines that are never tested again.
func TestEnginesThatKeepNothing(t *testing.T) {
	const learnt, n = 1500, 2000
	for name, c := range map[string]struct {
		keeps bool
		least int
		most  int
	}{
		"keep nothing":    {keeps: false, least: n / 100, most: n / 25},
		"keep beginnings": {keeps: true, least: n * 9 / 10, most: n},
	} {
		t.Run(name, func(t *testing.T) {
			p := newReaders(6)
			newEngines(c.keeps).play(t, p, learnt, 20*time.Millisecond, skewed())
			now := time.Unix(3600, 0)
			stayed := 0
			for i := range n {
				now = now.Add(time.Second)
				prefix := uint64(1000 + i)
				a, b := beginningAsk(learnt+2*i, prefix, 800), beginningAsk(learnt+2*i+1, prefix, 800)
				first := placed(t, p, now, a)
				// The first prompt is read but for 10 ms.
				now = now.Add(90 * time.Millisecond)
				if placed(t, p, now, b) == first {
					stayed++
				}
				p.Release(now, a.Request, scheduler.Outcome{Tokens: 1})
				p.Release(now, b.Request, scheduler.Outcome{Tokens: 1})
			}
			if got := stayed; got < c.least || got > c.most {
				t.Errorf("requests that waited for the endpoint that ran their beginning: got %d of %d, want %d to %d", got, n, c.least, c.most)
			}
		})
	}
}

// TestBeginningOfRestartedEndpoint guards against a request that waits for an endpoint that
// started again since it read the beginning.
func TestBeginningOfRestartedEndpoint(t *testing.T) {
	p := newReaders(2)
	now := time.Unix(0, 0)
	a := beginningAsk(0, 7, 990)
	first := placed(t, p, now, a)
	now = now.Add(90 * time.Millisecond)
	p.Release(now, a.Request, scheduler.Outcome{Tokens: 1})
	restarted := readers(2)
	for i := range restarted {
		if restarted[i].EndpointIncarnation == first {
			restarted[i].Incarnation++
			first = restarted[i].EndpointIncarnation
			// Another owner's stream makes it the slower one by a little.
			restarted[i].Reported = 1
		}
	}
	p.SetRunners(restarted)
	if got := placed(t, p, now, beginningAsk(1, 7, 990)); got == first {
		t.Errorf("placed at %v, which started again, want the idle one", got)
	}
}
