package scheduler_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
)

// TestLaterAskUpdatesTerms guards against urgent work that is scheduled last because
// the first ask of its rank, which the pool's policy does not declare, carried no
// terms or less urgent ones.
func TestLaterAskUpdatesTerms(t *testing.T) {
	now := time.Unix(0, 0)
	urgent, lessUrgent := newTerms(0), newTerms(9)
	for name, first := range map[string]*declarer.Rank{"no terms": nil, "other terms": &lessUrgent} {
		t.Run(name, func(t *testing.T) {
			p := newPool(0)
			configureRanks(p, map[identifier.Rank]declarer.Rank{"batch": newTerms(5)})
			a, b, c := ask(1, "new"), ask(2, "batch"), ask(3, "new")
			a.Terms, c.Terms = first, &urgent
			p.Ask(now, b)
			p.Ask(now, a)
			p.Cancel(now, a.Request)
			p.Ask(now, c)
			if got, want := firstGranted(p, now), identifier.Request("q3"); got != want {
				t.Errorf("first grant: got %q, want %q", got, want)
			}
		})
	}
}
