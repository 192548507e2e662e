package prefixer_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/prefixer"
)

var start = time.Unix(0, 0)

// incarnation returns the first incarnation of endpoint i.
func incarnation(i int) identifier.EndpointIncarnation {
	return identifier.EndpointIncarnation{
		Endpoint:    identifier.Endpoint(fmt.Sprintf("e%d", i)),
		Incarnation: 1,
	}
}

// newIndex returns an index of n endpoints with the given memory.
func newIndex(n int, memory identifier.Tokens) *prefixer.Index {
	x := prefixer.New()
	for i := range n {
		x.SetMemory(incarnation(i), memory)
	}
	return x
}

// request returns a request whose prompt of 1,000 tokens starts with a beginning of 800.
func request(id int, b prefixer.Beginning) prefixer.Request {
	return prefixer.Request{
		ID:        identifier.Request(fmt.Sprintf("q%d", id)),
		Beginning: b,
		Tokens:    800,
		Prompt:    1000,
	}
}

// expected returns the tokens that r is expected to save at each endpoint.
func expected(x *prefixer.Index, now time.Time, r prefixer.Request) map[identifier.EndpointIncarnation]identifier.Tokens {
	out := make(map[identifier.EndpointIncarnation]identifier.Tokens)
	x.Expect(now, r, func(e identifier.EndpointIncarnation, tokens identifier.Tokens) { out[e] = tokens })
	return out
}

// TestSavingBeyondBeginning guards against more tokens expected to be saved than the request
// shares, also if lengths are stated that can't be true.
func TestSavingBeyondBeginning(t *testing.T) {
	for name, c := range map[string]struct {
		first  identifier.Tokens
		second identifier.Tokens
		want   identifier.Tokens
	}{
		"same":                    {first: 800, second: 800, want: 800},
		"shorter before":          {first: 300, second: 800, want: 300},
		"shorter now":             {first: 800, second: 300, want: 300},
		"longer than the prompt":  {first: 5000, second: 5000, want: 1000},
		"not known":               {first: 800, second: 0, want: 0},
		"negative":                {first: 800, second: -1, want: 0},
		"not known of the first":  {first: 0, second: 800, want: 0},
		"negative of the first":   {first: -800, second: 800, want: 0},
		"largest possible number": {first: 1<<63 - 1, second: 1<<63 - 1, want: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			x := newIndex(1, 0)
			first, second := request(0, 7), request(1, 7)
			first.Tokens, second.Tokens = c.first, c.second
			x.Read(start, incarnation(0), first, 1)
			if got, want := expected(x, start, second)[incarnation(0)], c.want; got != want {
				t.Errorf("saved: got %d tokens, want %d", got, want)
			}
		})
	}
}

// TestExhaustedMemory guards against a beginning that counts as held although the endpoint has
// read more since than fits in its memory.
func TestExhaustedMemory(t *testing.T) {
	x := newIndex(1, 10_000)
	x.Read(start, incarnation(0), request(0, 7), 1)
	last := expected(x, start, request(1, 7))[incarnation(0)]
	for i := range 10 {
		x.Read(start, incarnation(0), request(i, prefixer.Beginning(100+i)), 1)
		got := expected(x, start, request(1, 7))[incarnation(0)]
		if got >= last {
			t.Errorf("saved after %d other prompts: got %d tokens, want less than %d", i+1, got, last)
		}
		last = got
	}
	if last != 0 {
		t.Errorf("saved when the memory has been read once over: got %d tokens, want 0", last)
	}
}

// TestUnusedBeginning guards against beginnings that count as held permanently.
func TestUnusedBeginning(t *testing.T) {
	x := newIndex(1, 0)
	x.Read(start, incarnation(0), request(0, 7), 1)
	soon := expected(x, start.Add(time.Second), request(1, 7))[incarnation(0)]
	later := expected(x, start.Add(5*time.Minute), request(1, 7))[incarnation(0)]
	if soon < 780 || later >= soon/2 {
		t.Errorf("saved after a second and five minutes: got %d and %d tokens, want most of 800 and less than half of that", soon, later)
	}
	if got := expected(x, start.Add(time.Hour), request(1, 7)); len(got) != 0 {
		t.Errorf("saved after an hour: got %v, want none", got)
	}
}

// TestRestartedEndpoint guards against an endpoint that is expected to hold what its earlier
// incarnation held.
func TestRestartedEndpoint(t *testing.T) {
	x := newIndex(1, 0)
	x.Read(start, incarnation(0), request(0, 7), 1)
	restarted := incarnation(0)
	restarted.Incarnation = 2
	x.SetMemory(restarted, 0)
	x.Forget(incarnation(0))
	if got := expected(x, start, request(1, 7)); len(got) != 0 {
		t.Errorf("saved after the restart: got %v, want none", got)
	}
	// A late ticket of the incarnation that has ended makes nothing known again.
	x.Read(start, incarnation(0), request(2, 7), 1)
	if got := expected(x, start, request(3, 7)); len(got) != 0 {
		t.Errorf("saved at the ended incarnation: got %v, want none", got)
	}
}

// observe lets n requests, every other one of which should save 0.6 of its time, show times
// with the given noise. An engine that keeps beginnings saves them.
func observe(x *prefixer.Index, random *rand.Rand, n int, keeps bool, noise float64) {
	for i := range n {
		predicted := time.Duration(50+random.IntN(200)) * time.Millisecond
		o := prefixer.Observation{Predicted: predicted}
		actual := 1.4 * float64(predicted)
		if i%2 == 1 {
			o.Saved = predicted * 6 / 10
			if keeps {
				actual *= 0.4
			}
		}
		o.FirstEvent = time.Duration(actual * (1 + noise*(2*random.Float64()-1)))
		x.Observe(o)
	}
}

// tested returns how many of n requests are expected to save.
func tested(x *prefixer.Index, n int) int {
	count := 0
	for i := range n {
		if len(expected(x, start, request(i, 7))) > 0 {
			count++
		}
	}
	return count
}

// TestEnginesThatKeepNothing guards against requests that are sent to longer queues for
// beginnings that engines don't keep, and against engines that are never tested again.
func TestEnginesThatKeepNothing(t *testing.T) {
	x := newIndex(4, 0)
	x.Read(start, incarnation(0), request(0, 7), 1)
	random := rand.New(rand.NewPCG(11, 0))
	const n = 5000
	if got, want := tested(x, n), n; got != want {
		t.Errorf("expected to save before any observation: got %d requests, want %d", got, want)
	}
	observe(x, random, 200, false, 0.3)
	if x.Keeps() {
		t.Error("engines that keep nothing: not recognised after 200 requests")
	}
	if got := tested(x, n); got < n/100 || got > n/25 {
		t.Errorf("tests: got %d of %d requests, want about 1 in 50", got, n)
	}
	observe(x, random, 200, true, 0.3)
	if !x.Keeps() {
		t.Error("engines that keep beginnings again: not recognised after 200 requests")
	}
}

// TestEnginesThatKeep guards against engines that keep beginnings and are taken to keep nothing
// because their times vary, or are all longer than predicted.
func TestEnginesThatKeep(t *testing.T) {
	for seed := range uint64(20) {
		x := newIndex(1, 0)
		random := rand.New(rand.NewPCG(seed, 0))
		for range 100 {
			observe(x, random, 20, true, 0.5)
			if !x.Keeps() {
				t.Fatalf("seed %d: engines are taken to keep nothing", seed)
			}
		}
	}
}

// TestFalseTimes guards against a release with times that can't be true deciding for a service.
func TestFalseTimes(t *testing.T) {
	x := newIndex(1, 0)
	random := rand.New(rand.NewPCG(11, 0))
	observe(x, random, 200, true, 0.1)
	for range 200 {
		for _, d := range []time.Duration{-time.Second, 0, 1<<63 - 1, 2 * time.Hour} {
			x.Observe(prefixer.Observation{
				Predicted:  time.Second,
				Saved:      time.Second / 2,
				FirstEvent: d,
			})
		}
		x.Observe(prefixer.Observation{FirstEvent: time.Second})
	}
	x.Observe(prefixer.Observation{
		Predicted:  time.Second,
		Saved:      time.Second / 2,
		FirstEvent: time.Hour,
	})
	if !x.Keeps() {
		t.Error("engines that keep beginnings: taken to keep nothing by false times")
	}
}

// TestHotBeginningAtOneEndpoint guards against a beginning that most requests share and that
// is placed where it is held each time, so that one endpoint holds it for all.
func TestHotBeginningAtOneEndpoint(t *testing.T) {
	const endpoints = 10
	x := newIndex(endpoints, 0)
	held := make(map[int]bool)
	random := rand.New(rand.NewPCG(11, 0))
	for i := range 1000 {
		r := request(i, 7)
		if i%2 == 1 {
			r = request(i, prefixer.Beginning(1000+i))
		}
		best := random.IntN(endpoints)
		for e := range endpoints {
			if expected(x, start, r)[incarnation(e)] > 0 {
				best = e
			}
		}
		x.Count(r)
		x.Read(start, incarnation(best), r, 1)
		if r.Beginning == 7 {
			held[best] = true
		}
	}
	if got, want := len(held), endpoints/2; got < want {
		t.Errorf("a beginning of half of the requests: got %d endpoints that hold it, want at least %d", got, want)
	}
	if got, limit := len(held), endpoints/2+2; got > limit {
		t.Errorf("a beginning of half of the requests: got %d endpoints that hold it, want at most %d", got, limit)
	}
}

// TestIndex runs random operations on an index. It requires that nothing is expected at an
// endpoint that is not known, nor of a beginning that didn't run there, that no more is expected
// than the request shares, and that the number of beginnings held at an endpoint is bounded.
func TestIndex(t *testing.T) {
	const limit = 64
	rapid.Check(t, func(t *rapid.T) {
		x := prefixer.New()
		now := start
		known := make(map[identifier.EndpointIncarnation]map[prefixer.Beginning]bool)
		drawn := func(t *rapid.T) (identifier.EndpointIncarnation, prefixer.Request) {
			e := incarnation(rapid.IntRange(0, 3).Draw(t, "endpoint"))
			return e, prefixer.Request{
				ID:        identifier.Request(rapid.StringN(1, 3, 9).Draw(t, "id")),
				Beginning: prefixer.Beginning(rapid.Uint64Range(0, 200).Draw(t, "beginning")),
				Tokens:    identifier.Tokens(rapid.Int64Range(-10, 2000).Draw(t, "tokens")),
				Prompt:    identifier.Tokens(rapid.Int64Range(0, 2000).Draw(t, "prompt")),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"set memory": func(t *rapid.T) {
				e, _ := drawn(t)
				x.SetMemory(e, identifier.Tokens(rapid.Int64Range(-1, 100_000).Draw(t, "memory")))
				if known[e] == nil {
					known[e] = make(map[prefixer.Beginning]bool)
				}
			},
			"forget": func(t *rapid.T) {
				e, _ := drawn(t)
				x.Forget(e)
				delete(known, e)
			},
			"read": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "prompts") {
					e, r := drawn(t)
					x.Count(r)
					x.Read(now, e, r, rapid.Float64Range(0, 1).Draw(t, "fraction"))
					if known[e] != nil {
						known[e][r.Beginning] = true
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(-1, 60).Draw(t, "seconds")) * time.Second)
			},
			"observe": func(t *rapid.T) {
				x.Observe(prefixer.Observation{
					Predicted:  time.Duration(rapid.Int64().Draw(t, "predicted")),
					Saved:      time.Duration(rapid.Int64().Draw(t, "saved")),
					FirstEvent: time.Duration(rapid.Int64().Draw(t, "first event")),
				})
			},
			"": func(t *rapid.T) {
				_, r := drawn(t)
				for e, tokens := range expected(x, now, r) {
					if !known[e][r.Beginning] || r.Beginning == 0 {
						t.Fatalf("%v is expected to hold beginning %d, which didn't run there", e, r.Beginning)
					}
					if got, most := tokens, min(r.Tokens, r.Prompt); got <= 0 || got > most {
						t.Fatalf("saved: got %d tokens, want 1 to %d", got, most)
					}
				}
				for e := range known {
					held := 0
					for b := range prefixer.Beginning(201) {
						if x.Remains(now, e, request(0, b)) > 0 {
							held++
						}
					}
					if held > limit {
						t.Fatalf("%v: got %d beginnings, want at most %d", e, held, limit)
					}
				}
			},
		})
	})
}

// fullIndex returns an index of n endpoints that each ran more beginnings than are remembered;
// the last one, 7, at all of them.
func fullIndex(n int) *prefixer.Index {
	x := newIndex(n, 0)
	for i := range n {
		for j := range 64 {
			x.Read(start, incarnation(i), request(0, prefixer.Beginning(1000+64*i+j)), 1)
		}
		x.Read(start, incarnation(i), request(0, 7), 1)
	}
	return x
}

// TestMemoryOfManyEndpoints guards against an index of 12,000 endpoints that takes most of the
// 64 MB that an instance may have.
func TestMemoryOfManyEndpoints(t *testing.T) {
	const limit = 24 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := fullIndex(12_000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	got := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d bytes", got)
	if got > limit {
		t.Errorf("heap: got %d bytes, want at most %d", got, limit)
	}
	if !x.Keeps() {
		t.Error("keeps: got false, want true")
	}
}

// BenchmarkExpect looks up a beginning that is held at all of 12,000 endpoints, at one and at
// none.
func BenchmarkExpect(b *testing.B) {
	x := fullIndex(12_000)
	for name, beginning := range map[string]prefixer.Beginning{
		"all":  7,
		"one":  1063,
		"none": 1,
	} {
		b.Run(name, func(b *testing.B) {
			r := request(1, beginning)
			for b.Loop() {
				x.Expect(start, r, func(identifier.EndpointIncarnation, identifier.Tokens) {})
			}
		})
	}
}
