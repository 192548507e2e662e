package scheduler_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/scheduler"
)

// uses reports whether a chain has the endpoint.
func uses(chain []identifier.Stage, e identifier.Endpoint) bool {
	for _, s := range chain {
		if s.Endpoint == e {
			return true
		}
	}
	return false
}

// grants returns what is granted at now, and how many of the chains use e.
func grants(p *scheduler.Pool, now time.Time, e identifier.Endpoint) ([]scheduler.Decision, int) {
	var out []scheduler.Decision
	through := 0
	for _, d := range p.Decide(now) {
		if d.Verdict != scheduler.Granted {
			continue
		}
		out = append(out, d)
		if uses(d.Chain, e) {
			through++
		}
	}
	return out, through
}

// TestOneTriesAgain has requests queue up while the only endpoint for a stretch
// is paused: after the pause one of them tries it, not all, and a second failure
// breaks that one alone.
func TestOneTriesAgain(t *testing.T) {
	p := newPool(3)
	now := time.Unix(0, 0)
	p.Ask(now, ask(0, "batch"))
	first, _ := grants(p, now, "e1")
	dead := first[0].Chain[1].Life
	p.Release(now, first[0].Request, scheduler.Outcome{Failed: dead})
	for i := 1; i <= 4; i++ {
		p.Ask(now, ask(i, "batch"))
	}
	if got, _ := grants(p, now.Add(500*time.Millisecond), "e1"); len(got) != 0 {
		t.Fatalf("got %d grants while the endpoint is paused, want 0", len(got))
	}
	now = now.Add(1100 * time.Millisecond)
	tries, through := grants(p, now, "e1")
	if through != 1 {
		t.Fatalf("got %d chains through an endpoint that has just failed, want 1", through)
	}
	now = now.Add(50 * time.Millisecond)
	p.Release(now, tries[0].Request, scheduler.Outcome{Failed: dead})
	if got, _ := grants(p, now.Add(time.Second), "e1"); len(got) != 0 {
		t.Errorf("got %d grants after the second failure, want 0", len(got))
	}
	now = now.Add(2100 * time.Millisecond)
	if _, through := grants(p, now, "e1"); through != 1 {
		t.Errorf("got %d chains after the longer pause, want 1", through)
	}
	if _, through := grants(p, now.Add(500*time.Millisecond), "e1"); through != 2 {
		t.Errorf("got %d more chains once the trial has gone well, want 2", through)
	}
}

// TestTrialThatShowsNothing has the stream that tries an endpoint end early for
// another reason: the next one tries it.
func TestTrialThatShowsNothing(t *testing.T) {
	p := newPool(3)
	now := time.Unix(0, 0)
	p.Ask(now, ask(0, "batch"))
	first, _ := grants(p, now, "e1")
	p.Release(now, first[0].Request, scheduler.Outcome{Failed: first[0].Chain[1].Life})
	now = now.Add(1100 * time.Millisecond)
	p.Ask(now, ask(1, "batch"))
	p.Ask(now, ask(2, "batch"))
	tries, _ := grants(p, now, "e1")
	if len(tries) != 1 {
		t.Fatalf("got %d trials, want 1", len(tries))
	}
	p.Cancel(now, tries[0].Request)
	if _, through := grants(p, now.Add(10*time.Millisecond), "e1"); through != 1 {
		t.Errorf("got %d chains after a trial that showed nothing, want 1", through)
	}
}
