package scheduler_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/scheduler"
)

// largePrompt is the prompt of a large request. Four to five small ones need as much memory.
const largePrompt = 1400

// mixed returns the size of each request: one in twenty is large.
func mixed(i int) (prompt, response identifier.Tokens) {
	if i%20 == 7 {
		return largePrompt, 60
	}
	return usual(i)
}

func large(c *caller) bool { return c.ask.Prompt == largePrompt }

// TestSmallRequestsStarveLarge guards against large requests that are never on time because
// smaller ones take all memory that becomes free.
func TestSmallRequestsStarveLarge(t *testing.T) {
	callers := load(1.5, time.Minute, mixed)
	simulate(t, simulatedPool(oneRank()), callers)
	largeOnTime, late, refused := count(callers, large)
	t.Logf("large: %.3f on time, %.3f late, %.3f refused", largeOnTime, late, refused)
	smallOnTime, late, refused := count(callers, func(c *caller) bool { return !large(c) })
	t.Logf("small: %.3f on time, %.3f late, %.3f refused", smallOnTime, late, refused)
	if least := smallOnTime / 2; largeOnTime < least {
		t.Errorf("large requests on time: got a share of %.3f, want at least half of that of small ones, %.3f", largeOnTime, least)
	}
	if smallOnTime < 0.5 {
		t.Errorf("small requests on time: got a share of %.3f, want 0.5", smallOnTime)
	}
}

// fullPool returns a pool whose memory but for 1,000 tokens is in use until the release of "old",
// with a large request that waits, and a time at which it has waited a little.
func fullPool(t *testing.T, oldPrompt identifier.Tokens) (*scheduler.Pool, time.Time) {
	t.Helper()
	p := simulatedPool(oneRank())
	now := time.Unix(0, 0)
	askFor := func(name identifier.Request, prompt identifier.Tokens) {
		a := promising(1, "order-1", simulatedTarget, 0)
		a.Request = name
		a.Customer = identifier.Customer(name)
		a.Prompt = prompt
		a.Output = 1
		p.Ask(now, a)
	}
	askFor("old", oldPrompt)
	askFor("other", simulatedMemory-1000-oldPrompt)
	if got, want := len(granted(p, now)), 2; got != want {
		t.Fatalf("got %d requests with a chain, want %d", got, want)
	}
	askFor("large", 2000)
	now = now.Add(10 * time.Millisecond)
	askFor("small", 300)
	return p, now
}

// TestLargeHoldsBackForQuarter requires that a large request holds back a smaller one only while
// it is expected to fit within a quarter of its target, and not longer than that.
func TestLargeHoldsBackForQuarter(t *testing.T) {
	p, now := fullPool(t, 4000)
	start := now
	for ; ; now = now.Add(simulatedStep) {
		if _, ok := granted(p, now)["small"]; ok {
			break
		}
		if now.Sub(start) > time.Second {
			t.Fatal("the small request got no chain within a second")
		}
	}
	quarter := simulatedTarget / 4
	if got := now.Sub(start); got < quarter-2*simulatedStep || got > quarter+2*simulatedStep {
		t.Errorf("the small request was held back for %v, want %v", got, quarter)
	}

	p, now = fullPool(t, 4000)
	if got := granted(p, now); len(got) > 0 {
		t.Fatalf("got %v, want no chain for the small request", got)
	}
	p.Release(now, "old", scheduler.Outcome{Tokens: 1})
	if _, ok := granted(p, now)["large"]; !ok {
		t.Error("the large request got no chain when there was memory")
	}
}

// TestLargeHoldsBackInVain guards against capacity that stays unused because a large request holds
// back others, although the running requests leave it no memory soon.
func TestLargeHoldsBackInVain(t *testing.T) {
	p := simulatedPool(oneRank())
	now := time.Unix(0, 0)
	for i, prompt := range []identifier.Tokens{simulatedMemory - 1000, 2000, 300} {
		a := promising(i, "order-1", simulatedTarget, 0)
		a.Prompt = prompt
		a.Output = 2000
		p.Ask(now, a)
		p.Decide(now)
		now = now.Add(simulatedStep)
	}
	if p.Holds("q1") || !p.Holds("q2") {
		t.Errorf("got chains for the large request %v and the small one %v, want it for the small one only", p.Holds("q1"), p.Holds("q2"))
	}
}
