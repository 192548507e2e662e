package scheduler_test

import (
	"testing"
	"time"

	"heatherhold.dev/router/scheduler"
)

// TestLimitOfFirstStageExceeded guards against granting more chains that start at an
// endpoint than it says that it takes.
func TestLimitOfFirstStageExceeded(t *testing.T) {
	const limit = 4.0
	const seconds = 8
	p := newPool(6)
	now := time.Unix(0, 0)
	limited := reports(6)[0].EndpointIncarnation
	p.SetLimit(now, limited, limit)
	granted, other := 0, 0
	for i := range 100 * seconds {
		now = now.Add(10 * time.Millisecond)
		p.Ask(now, ask(i, "urgent"))
		for _, d := range p.Decide(now) {
			if d.Verdict != scheduler.Granted {
				continue
			}
			if d.Chain[0].EndpointIncarnation == limited {
				granted++
			} else {
				other++
			}
			p.Release(now, d.Request, scheduler.Outcome{Tokens: 1})
		}
	}
	if most := 1.5*limit*seconds + 5; float64(granted) > most || granted < limit*seconds/2 {
		t.Errorf("got %d chains in %d s that start at an endpoint that takes %g a second, want %g to %g", granted, seconds, limit, limit*seconds/2, most)
	}
	if other < 50*seconds {
		t.Errorf("got %d chains that start at the other endpoint, want at least %d", other, 50*seconds)
	}
	p.SetLimit(now, limited, 0)
	p.Ask(now, ask(100000, "urgent"))
	if got := p.Decide(now); len(got) != 1 || got[0].Verdict != scheduler.Granted {
		t.Errorf("got decisions %v after the limit ended, want one grant", got)
	}
}

// TestOnlyLimitedFirstStages requires a refusal at once, with a wait that follows from the
// limits, where more requests wait than these allow in time.
func TestOnlyLimitedFirstStages(t *testing.T) {
	p := newPool(3)
	now := time.Unix(0, 0)
	p.SetLimit(now, reports(3)[0].EndpointIncarnation, 2)
	refused := 0
	for i := range 20 {
		p.Ask(now, ask(i, "urgent"))
		for _, d := range p.Decide(now) {
			if d.Verdict == scheduler.Refused {
				refused++
			}
		}
	}
	if refused < 15 || refused > 18 {
		t.Errorf("got %d of 20 requests refused at once, want 15 to 18: two a second start, and a second is the longest wait", refused)
	}
}
