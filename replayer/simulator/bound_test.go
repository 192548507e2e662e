package simulator_test

import (
	"math"
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/replayer/simulator"
	"heatherhold.dev/router/planner"
)

var twoRanges = [][2]identifier.Layer{{0, 4}, {4, 8}}

func bound(t *testing.T, runners []planner.Runner, links simulator.Links) float64 {
	t.Helper()
	got, err := simulator.Bound(runners, links, "gijon", 0)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// TestBoundJoinsAlike joins fast with fast and slow with slow.
func TestBoundJoinsAlike(t *testing.T) {
	runners := simulator.Fleet(twoRanges, 2, []identifier.DataCentre{"gijon"}, []time.Duration{5 * time.Millisecond, 20 * time.Millisecond}, 10)
	got, want := bound(t, runners, nil), 10/0.010+10/0.040
	if math.Abs(got-want) > 1 {
		t.Errorf("got %.1f tokens a second, want %.1f", got, want)
	}
}

// TestBoundLeavesSlowLinkOut joins the stages of each data centre, though other
// chains would have stages of the same speed.
func TestBoundLeavesSlowLinkOut(t *testing.T) {
	runners := simulator.Fleet(twoRanges, 4, []identifier.DataCentre{"gijon", "getxo"}, []time.Duration{5 * time.Millisecond, 20 * time.Millisecond}, 10)
	links := simulator.Links{
		{"gijon", "getxo"}: 90 * time.Millisecond,
		{"getxo", "gijon"}: 90 * time.Millisecond,
	}
	// Each data centre has a fast and a slow endpoint for each range.
	want := 10/0.010 + 10/0.040 + 10/0.100 + 10/0.130
	if got := bound(t, runners, links); math.Abs(got-want) > 1 {
		t.Errorf("got %.1f tokens a second, want %.1f", got, want)
	}
}

// TestBoundWithoutSlots is 0 where a range has no endpoint with a slot.
func TestBoundWithoutSlots(t *testing.T) {
	runners := simulator.Fleet(twoRanges, 1, []identifier.DataCentre{"gijon"}, []time.Duration{time.Millisecond}, 10)
	for i := range runners {
		runners[i].Slots = 0
	}
	if got := bound(t, runners, nil); got != 0 {
		t.Errorf("got %.1f tokens a second, want 0", got)
	}
}
