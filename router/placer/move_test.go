package placer_test

import (
	"testing"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/router/placer"
)

// TestRebalance removes every endpoint that holds a certain layer, and carries out
// moves until Rebalance returns none. Each move must leave fewer layers without a
// holder, and at the end every layer must have one.
func TestRebalance(t *testing.T) {
	e := engine()
	fleet := append(endpoints("a", "large", 2), endpoints("a", "middle", 6)...)
	fleet = append(fleet, endpoints("a", "small", 12)...)
	fleet = apply(fleet, placer.Plan(e, fleet))
	const lostLayer = 20
	var remaining []cataloguer.Endpoint
	for _, endpoint := range fleet {
		if endpoint.From > lostLayer || endpoint.To <= lostLayer {
			remaining = append(remaining, endpoint)
		}
	}
	if capacity(e, remaining) > 0 {
		t.Fatal("got a complete copy without the lost endpoints, want layers without a holder")
	}
	moves := 0
	for ; moves < len(remaining); moves++ {
		before := uncovered(e, remaining)
		m, ok := placer.Rebalance(e, remaining)
		if !ok {
			break
		}
		for i := range remaining {
			if remaining[i].EndpointIncarnation == m.Endpoint.EndpointIncarnation {
				remaining[i].From, remaining[i].To = m.Layers.From, m.Layers.To
			}
		}
		if got := uncovered(e, remaining); got >= before {
			t.Fatalf("move %d: got %d layers without a holder, want fewer than %d", moves, got, before)
		}
	}
	if capacity(e, remaining) == 0 {
		t.Errorf("got layers without a holder after %d moves", moves)
	}
}

// uncovered returns how many layers have no holder.
func uncovered(e *cataloguer.Engine, fleet []cataloguer.Endpoint) int {
	n := 0
	for l := range e.Layers {
		covered := false
		for _, endpoint := range fleet {
			covered = covered || (endpoint.From <= l && l < endpoint.To)
		}
		if !covered {
			n++
		}
	}
	return n
}

// TestNoMoveWithoutNeed checks that no endpoint moves if the fleet holds every
// layer.
func TestNoMoveWithoutNeed(t *testing.T) {
	e := engine()
	fleet := append(endpoints("a", "large", 2), endpoints("a", "middle", 6)...)
	fleet = apply(fleet, placer.Plan(e, fleet))
	if m, ok := placer.Rebalance(e, fleet); ok {
		t.Errorf("got %s moved to %v, want none", m.Endpoint.Endpoint, m.Layers)
	}
}
