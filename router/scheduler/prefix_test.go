package scheduler_test

import (
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
