package scheduler_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/scheduler"
)

// chainUses reports whether a chain contains the endpoint.
func chainUses(chain []identifier.Stage, e identifier.Endpoint) bool {
	for _, s := range chain {
		if s.Endpoint == e {
			return true
		}
	}
	return false
}

// grantsThrough returns the grants made at now, and how many of their chains use e.
func grantsThrough(p *scheduler.Pool, now time.Time, e identifier.Endpoint) ([]scheduler.Decision, int) {
	var out []scheduler.Decision
	through := 0
	for _, d := range p.Decide(now) {
		if d.Verdict != scheduler.Granted {
			continue
		}
		out = append(out, d)
		if chainUses(d.Chain, e) {
			through++
		}
	}
	return out, through
}

// TestSingleProbeAfterPause queues requests while the only endpoint for a range of
// layers is paused. After the pause only one of them may probe the endpoint, so that
// a second failure breaks that one alone.
func TestSingleProbeAfterPause(t *testing.T) {
	p := newPool(3)
	now := time.Unix(0, 0)
	p.Ask(now, ask(0, "batch"))
	first, _ := grantsThrough(p, now, "e1")
	failed := first[0].Chain[1].EndpointIncarnation
	p.Release(now, first[0].Request, scheduler.Outcome{Failed: failed})
	for i := 1; i <= 4; i++ {
		p.Ask(now, ask(i, "batch"))
	}
	if got, _ := grantsThrough(p, now.Add(500*time.Millisecond), "e1"); len(got) != 0 {
		t.Fatalf("got %d grants while the endpoint is paused, want 0", len(got))
	}
	now = now.Add(1100 * time.Millisecond)
	probes, through := grantsThrough(p, now, "e1")
	if through != 1 {
		t.Fatalf("got %d chains through an endpoint that has just failed, want 1", through)
	}
	now = now.Add(50 * time.Millisecond)
	p.Release(now, probes[0].Request, scheduler.Outcome{Failed: failed})
	if got, _ := grantsThrough(p, now.Add(time.Second), "e1"); len(got) != 0 {
		t.Errorf("got %d grants after the second failure, want 0", len(got))
	}
	now = now.Add(2100 * time.Millisecond)
	if _, through := grantsThrough(p, now, "e1"); through != 1 {
		t.Errorf("got %d chains after the longer pause, want 1", through)
	}
	if _, through := grantsThrough(p, now.Add(500*time.Millisecond), "e1"); through != 2 {
		t.Errorf("got %d more chains after the probe has run long enough, want 2", through)
	}
}

// TestInconclusiveProbe ends a probe stream early for another reason than a failure
// of the endpoint, and requires that the next stream becomes the probe.
func TestInconclusiveProbe(t *testing.T) {
	p := newPool(3)
	now := time.Unix(0, 0)
	p.Ask(now, ask(0, "batch"))
	first, _ := grantsThrough(p, now, "e1")
	p.Release(now, first[0].Request, scheduler.Outcome{Failed: first[0].Chain[1].EndpointIncarnation})
	now = now.Add(1100 * time.Millisecond)
	p.Ask(now, ask(1, "batch"))
	p.Ask(now, ask(2, "batch"))
	probes, _ := grantsThrough(p, now, "e1")
	if len(probes) != 1 {
		t.Fatalf("got %d probes, want 1", len(probes))
	}
	p.Cancel(now, probes[0].Request)
	if _, through := grantsThrough(p, now.Add(10*time.Millisecond), "e1"); through != 1 {
		t.Errorf("got %d chains after an inconclusive probe, want 1", through)
	}
}

// TestFailed requires that an endpoint that breaks a stream is reported as failed until a
// stream through it ends well.
func TestFailed(t *testing.T) {
	p := newPool(3)
	now := time.Unix(0, 0)
	p.Ask(now, ask(0, "batch"))
	first, _ := grantsThrough(p, now, "e1")
	if got := p.Failed(); len(got) != 0 {
		t.Errorf("failed before any stream ended: got %v, want none", got)
	}
	broken := first[0].Chain[1].EndpointIncarnation
	p.Release(now, first[0].Request, scheduler.Outcome{Failed: broken})
	if got := p.Failed(); len(got) != 1 || !got[broken] {
		t.Errorf("failed after %v broke a stream: got %v, want only that one", broken, got)
	}
	now = now.Add(1100 * time.Millisecond)
	p.Ask(now, ask(1, "batch"))
	probes, _ := grantsThrough(p, now, "e1")
	if len(probes) != 1 {
		t.Fatalf("got %d probes, want 1", len(probes))
	}
	p.Release(now.Add(time.Second), probes[0].Request, scheduler.Outcome{Tokens: 5})
	if got := p.Failed(); len(got) != 0 {
		t.Errorf("failed after a stream that ended well: got %v, want none", got)
	}
}

// admitted returns how many urgent requests a full pool of two endpoints for each part
// of the layers admits, after the given number of its streams were broken by one endpoint.
func admitted(broken int) int {
	p := newPool(6)
	now := time.Unix(0, 0)
	for i := range 8 {
		p.Ask(now, ask(i, "batch"))
	}
	_, _ = grantsThrough(p, now, "e1")
	for i := range broken {
		p.Release(now, ask(i, "batch").Request, scheduler.Outcome{Failed: reports(6)[1].EndpointIncarnation})
	}
	for i := range 100 {
		p.Ask(now, ask(100+i, "urgent"))
	}
	return p.Waiting()
}

// TestFailedEndpointCounts guards against requests that wait for as long as they may and
// are then refused, since the expected wait counts an endpoint that gets no work.
func TestFailedEndpointCounts(t *testing.T) {
	if got, want := admitted(1), admitted(0)/2+1; got > want {
		t.Errorf("admitted with half of a part's endpoints failed: got %d, want at most %d", got, want)
	}
}
