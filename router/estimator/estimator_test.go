package estimator_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/router/estimator"
	"heatherhold.dev/router/planner"
)

func engine() *cataloguer.Engine {
	return &cataloguer.Engine{
		Slots:                100,
		StepTime:             time.Millisecond,
		PrefillTime:          10 * time.Microsecond,
		Layers:               40,
		LayerBytes:           1e9,
		ContextBytes:         1e6,
		UsualPrompt:          900,
		UsualOutput:          200,
		InterCentreBandwidth: 1e9,
		Accelerators: map[cataloguer.Accelerator]cataloguer.Kind{
			"k": {
				MemoryBytes:   30e9,
				StepFactor:    3,
				PrefillFactor: 2,
			},
		},
		ActivationBytes: 1e4,
		Delays: []cataloguer.Delay{{
			From: "a",
			To:   "b",
			Time: time.Millisecond,
		}},
	}
}

// TestRunner requires that times scale with the kind of accelerator and the fraction
// of the layers, and slots with the memory that the layers leave free.
func TestRunner(t *testing.T) {
	endpoint := &cataloguer.Endpoint{
		Accelerator: "k",
		From:        10,
		To:          30,
	}
	r := estimator.Runner(engine(), endpoint)
	// Half of the layers leave 10 GB free, and a usual request of 1,000 tokens takes
	// 0.5 GB of that.
	if got, want := r.Slots, 20; got != want {
		t.Errorf("slots: got %d, want %d", got, want)
	}
	if got, want := r.TokenTime, 1500*time.Microsecond; got != want {
		t.Errorf("token time: got %v, want %v", got, want)
	}
	if got, want := r.PrefillTime, 10*time.Microsecond; got != want {
		t.Errorf("prompt token time: got %v, want %v", got, want)
	}
}

// TestLinks requires that only hops and transfers between two data centres take time.
func TestLinks(t *testing.T) {
	l := estimator.Links{Engine: engine()}
	if got, want := l.Delay("b", "a"), time.Millisecond; got != want {
		t.Errorf("delay: got %v, want %v", got, want)
	}
	if got := l.TransferTime("a", "a", 1000); got != 0 {
		t.Errorf("transfer within a data centre: got %v, want 0", got)
	}
	if got, want := l.TransferTime("a", "b", 1000), 10*time.Millisecond; got < want {
		t.Errorf("transfer of 10 MB at 1 GB/s: got %v, want %v or more", got, want)
	}
}

// TestShare requires that instances that each schedule alone don't together give out
// more slots or memory of an endpoint than it has.
func TestShare(t *testing.T) {
	whole := planner.Runner{
		Slots:        40,
		MemoryTokens: 36_000,
	}
	const instances = 9
	share := estimator.Share(whole, instances)
	if got := share.Slots * instances; got > whole.Slots {
		t.Errorf("got %d slots given out together, want at most %d", got, whole.Slots)
	}
	if got := share.MemoryTokens * instances; got > whole.MemoryTokens {
		t.Errorf("got memory for %d tokens given out together, want at most %d", got, whole.MemoryTokens)
	}
	if got := estimator.Share(planner.Runner{Slots: 3}, instances); got.Slots != 1 || got.MemoryTokens != 0 {
		t.Errorf("got %d slots and a memory limit of %d tokens, want 1 slot and a limit of 0 (none)", got.Slots, got.MemoryTokens)
	}
}
