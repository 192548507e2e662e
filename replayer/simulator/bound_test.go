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

// TestBoundPairsEqualSpeeds checks that the optimum has chains of fast endpoints
// only and chains of slow endpoints only.
func TestBoundPairsEqualSpeeds(t *testing.T) {
	runners := simulator.Fleet(twoRanges, 2, []identifier.DataCentre{"gijon"}, []time.Duration{5 * time.Millisecond, 20 * time.Millisecond}, 10)
	got, want := bound(t, runners, nil), 10/0.010+10/0.040
	if math.Abs(got-want) > 1 {
		t.Errorf("got %.1f tokens per second, want %.1f", got, want)
	}
}

// TestBoundAvoidsSlowLink checks that no chain crosses the slow link between its
// stages, although such chains could have stages of the same speed too.
func TestBoundAvoidsSlowLink(t *testing.T) {
	runners := simulator.Fleet(twoRanges, 4, []identifier.DataCentre{"gijon", "getxo"}, []time.Duration{5 * time.Millisecond, 20 * time.Millisecond}, 10)
	links := simulator.Links{
		{"gijon", "getxo"}: 90 * time.Millisecond,
		{"getxo", "gijon"}: 90 * time.Millisecond,
	}
	// Each data centre has a fast and a slow endpoint for each range. Requests enter
	// in gijon, so the chains in getxo cross the link once.
	want := 10/0.010 + 10/0.040 + 10/0.100 + 10/0.130
	if got := bound(t, runners, links); math.Abs(got-want) > 1 {
		t.Errorf("got %.1f tokens per second, want %.1f", got, want)
	}
}

// TestBoundWithoutSlots checks that the bound is 0 if no endpoint has a slot.
func TestBoundWithoutSlots(t *testing.T) {
	runners := simulator.Fleet(twoRanges, 1, []identifier.DataCentre{"gijon"}, []time.Duration{time.Millisecond}, 10)
	for i := range runners {
		runners[i].Slots = 0
	}
	if got := bound(t, runners, nil); got != 0 {
		t.Errorf("got %.1f tokens per second, want 0", got)
	}
}
