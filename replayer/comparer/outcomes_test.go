package comparer_test

import (
	"testing"
	"time"

	"heatherhold.dev/replayer/comparer"
)

// Outcomes that the users stated, before any was measured.
const (
	wantThroughput = 0.95
	wantRecovery   = 3 * time.Second
	wantSends      = 1.1
	wantLagLoss    = 0.05
	wantFreeLoss   = 0.02
	wantAlone      = 0.10
)

var owner = comparer.Ways[0]

func replay(t *testing.T, name string) comparer.Measures {
	t.Helper()
	s, ok := comparer.Find(name)
	if !ok {
		t.Fatalf("there is no scenario %q", name)
	}
	return comparer.Measure(s, owner)
}

func TestThroughputSaturated(t *testing.T) {
	t.Parallel()
	if got := replay(t, "saturated").Throughput; got < wantThroughput {
		t.Errorf("got %.3f of the bound, want %.2f", got, wantThroughput)
	}
}

// checkUrgent requires the urgent rank's targets.
func checkUrgent(t *testing.T, m comparer.Measures) {
	t.Helper()
	if m.UrgentFirst > comparer.FirstTarget {
		t.Errorf("%s: got first token after %v, want %v", m.Scenario, m.UrgentFirst, comparer.FirstTarget)
	}
	if m.UrgentGap > comparer.GapTarget {
		t.Errorf("%s: got %v between tokens, want %v", m.Scenario, m.UrgentGap, comparer.GapTarget)
	}
	if m.UrgentRefused > 0.05 {
		t.Errorf("%s: got %.3f of the urgent requests refused, want 0.05", m.Scenario, m.UrgentRefused)
	}
}

func TestBatchFlood(t *testing.T) {
	t.Parallel()
	checkUrgent(t, replay(t, "batch flood"))
}

// TestUrgentFlood requires that the others keep their minimum, or all that they
// ask for where that is less.
func TestUrgentFlood(t *testing.T) {
	t.Parallel()
	calm, flood := replay(t, "usual"), replay(t, "urgent flood")
	total := flood.Rate()
	for name, rank := range comparer.Ranks {
		asked := calm.Share[name] * calm.Rate() / total
		want := min(rank.GuaranteedShare, 0.95*asked)
		if got := flood.Share[name]; got < want {
			t.Errorf("%s: got share %.3f, want %.3f", name, got, want)
		}
	}
}

func TestFreeFlood(t *testing.T) {
	t.Parallel()
	calm, flood := replay(t, "usual"), replay(t, "free flood")
	checkUrgent(t, flood)
	if want := (1 - wantFreeLoss) * calm.Paying; flood.Paying < want {
		t.Errorf("got %.0f tokens a second of paying work, want %.0f", flood.Paying, want)
	}
}

// TestSmallBesideLarge compares small customers with what they get alone.
func TestSmallBesideLarge(t *testing.T) {
	t.Parallel()
	together := replay(t, "small and large")
	s, _ := comparer.Find("small and large")
	small := s.Flows[:8]
	alone := comparer.Measure(comparer.Scenario{
		Name:  "small alone",
		Flows: small,
	}, owner)
	for _, f := range small {
		got, want := together.Got[f.Customer], (1-wantAlone)*alone.Got[f.Customer]
		if got < want {
			t.Errorf("%s: got %.0f tokens, want %.0f", f.Customer, got, want)
		}
	}
	t.Logf("Jain index %.3f, worst part %.2f", together.Jain, together.Worst)
}

func checkRecovery(t *testing.T, m comparer.Measures) {
	t.Helper()
	if m.Recovery < 0 || m.Recovery > wantRecovery {
		t.Errorf("got recovery %v, want %v", m.Recovery, wantRecovery)
	}
	if m.Sends > wantSends {
		t.Errorf("got %.2f sends a request, want %.2f", m.Sends, wantSends)
	}
}

func TestStageDies(t *testing.T) {
	t.Parallel()
	checkRecovery(t, replay(t, "stage dies"))
}

func TestDataCentreCut(t *testing.T) {
	t.Parallel()
	checkRecovery(t, replay(t, "data centre cut"))
}

func TestLinkDegradesTwice(t *testing.T) {
	t.Parallel()
	checkRecovery(t, replay(t, "link degrades twice"))
}

func TestLateReports(t *testing.T) {
	t.Parallel()
	exact, late := replay(t, "saturated"), replay(t, "reports 2 s late")
	if want := (1 - wantLagLoss) * exact.Throughput; late.Throughput < want {
		t.Errorf("got %.3f of the bound, want %.3f", late.Throughput, want)
	}
}

func TestWrongLengths(t *testing.T) {
	t.Parallel()
	checkUrgent(t, replay(t, "lengths wrong tenfold"))
}
