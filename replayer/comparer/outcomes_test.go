package comparer_test

import (
	"testing"
	"time"

	"heatherhold.dev/replayer/comparer"
)

// Limits required by the users, who stated them before anything was measured.
const (
	minThroughput       = 0.95
	maxRecovery         = 3 * time.Second
	maxChainsPerRequest = 1.1
	maxLagLoss          = 0.05
	maxFreeFloodLoss    = 0.02
	maxSharingLoss      = 0.10
)

var ownerStrategy = comparer.Strategies[0]

func replay(t *testing.T, name string) comparer.Measures {
	t.Helper()
	s, ok := comparer.Find(name)
	if !ok {
		t.Fatalf("unknown scenario %q", name)
	}
	return comparer.Measure(s, ownerStrategy)
}

func TestThroughputSaturated(t *testing.T) {
	t.Parallel()
	if got := replay(t, "saturated").Throughput; got < minThroughput {
		t.Errorf("got throughput of %.3f of the bound, want at least %.2f", got, minThroughput)
	}
}

// checkUrgent checks that the urgent rank meets its targets and that at most 5% of
// its requests are refused.
func checkUrgent(t *testing.T, m comparer.Measures) {
	t.Helper()
	if m.UrgentFirstToken > comparer.FirstTokenTarget {
		t.Errorf("%s: got urgent first token after %v (95th percentile), want at most %v", m.Scenario, m.UrgentFirstToken, comparer.FirstTokenTarget)
	}
	if m.UrgentGap > comparer.TokenGapTarget {
		t.Errorf("%s: got %v between urgent tokens (95th percentile), want at most %v", m.Scenario, m.UrgentGap, comparer.TokenGapTarget)
	}
	if m.UrgentRefusedShare > 0.05 {
		t.Errorf("%s: got %.3f of the urgent requests refused, want at most 0.05", m.Scenario, m.UrgentRefusedShare)
	}
}

func TestBatchFlood(t *testing.T) {
	t.Parallel()
	checkUrgent(t, replay(t, "batch flood"))
}

// TestUrgentFlood checks that under a flood of urgent requests each rank still gets
// its guaranteed share, or 95% of what it requests if this is less. A rank's tokens
// in the usual scenario stand for what it requests.
func TestUrgentFlood(t *testing.T) {
	t.Parallel()
	usual, flood := replay(t, "usual"), replay(t, "urgent flood")
	total := flood.Rate()
	for name, rank := range comparer.Ranks {
		requested := usual.Share[name] * usual.Rate() / total
		want := min(rank.GuaranteedShare, 0.95*requested)
		if got := flood.Share[name]; got < want {
			t.Errorf("%s: got share %.3f, want at least %.3f", name, got, want)
		}
	}
}

func TestFreeFlood(t *testing.T) {
	t.Parallel()
	usual, flood := replay(t, "usual"), replay(t, "free flood")
	checkUrgent(t, flood)
	if want := (1 - maxFreeFloodLoss) * usual.PayingRate; flood.PayingRate < want {
		t.Errorf("got %.0f tokens per second for paying customers, want at least %.0f", flood.PayingRate, want)
	}
}

// TestSmallAndLarge checks that small customers beside large ones lose at most
// maxSharingLoss of the tokens that they get without the large ones.
func TestSmallAndLarge(t *testing.T) {
	t.Parallel()
	together := replay(t, "small and large")
	s, _ := comparer.Find("small and large")
	small := s.Flows[:8]
	alone := comparer.Measure(comparer.Scenario{
		Name:  "small alone",
		Flows: small,
	}, ownerStrategy)
	for _, f := range small {
		got, want := together.CompletedTokens[f.Customer], (1-maxSharingLoss)*alone.CompletedTokens[f.Customer]
		if got < want {
			t.Errorf("%s: got %.0f tokens, want at least %.0f", f.Customer, got, want)
		}
	}
	t.Logf("Jain index %.3f, worst ratio %.2f", together.JainIndex, together.WorstRatio)
}

func checkRecovery(t *testing.T, m comparer.Measures) {
	t.Helper()
	if m.Recovery < 0 || m.Recovery > maxRecovery {
		t.Errorf("got recovery after %v (negative: never), want at most %v", m.Recovery, maxRecovery)
	}
	if m.ChainsPerRequest > maxChainsPerRequest {
		t.Errorf("got %.2f chains opened per request, want at most %.2f", m.ChainsPerRequest, maxChainsPerRequest)
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
	current, late := replay(t, "saturated"), replay(t, "reports 2 s late")
	if want := (1 - maxLagLoss) * current.Throughput; late.Throughput < want {
		t.Errorf("got throughput of %.3f of the bound, want at least %.3f", late.Throughput, want)
	}
}

func TestWrongLengths(t *testing.T) {
	t.Parallel()
	checkUrgent(t, replay(t, "lengths wrong tenfold"))
}
