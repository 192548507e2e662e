package scheduler_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
)

// TestFirstAskFixesTermsForAll guards against urgent work that is taken last,
// since the first ask of a rank that the pool does not know told less of it.
func TestFirstAskFixesTermsForAll(t *testing.T) {
	now := time.Unix(0, 0)
	urgent, late := terms(0), terms(9)
	for name, first := range map[string]*declarer.Rank{"not told": nil, "told otherwise": &late} {
		t.Run(name, func(t *testing.T) {
			p := newPool(0)
			declare(p, map[identifier.Rank]declarer.Rank{"batch": terms(5)})
			a, b, c := ask(1, "new"), ask(2, "batch"), ask(3, "new")
			a.Terms, c.Terms = first, &urgent
			p.Ask(now, b)
			p.Ask(now, a)
			p.Cancel(now, a.Request)
			p.Ask(now, c)
			if got, want := granted(p, now), identifier.Request("q3"); got != want {
				t.Errorf("first: got %q, want %q", got, want)
			}
		})
	}
}
