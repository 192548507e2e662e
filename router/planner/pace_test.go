package planner_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
)

// TestPace guards against times of a whole model that leave out layers or count those that
// several runners hold more than once.
func TestPace(t *testing.T) {
	runner := func(from, to identifier.Layer, slots int, token time.Duration) planner.Runner {
		return planner.Runner{
			Stage: identifier.Stage{
				From:    from,
				To:      to,
				Version: "v1",
			},
			Slots:       slots,
			TokenTime:   token,
			PrefillTime: token / 10,
		}
	}
	runners := []planner.Runner{
		runner(0, 4, 10, 40*time.Millisecond),
		runner(0, 4, 30, 80*time.Millisecond),
		runner(4, 8, 10, 20*time.Millisecond),
	}
	token, prompt := planner.Pace(runners, 8, "v1")
	if want := 90 * time.Millisecond; token != want || prompt != want/10 {
		t.Errorf("got %v for a token and %v for a prompt token, want %v and %v", token, prompt, want, want/10)
	}
	if token, prompt := planner.Pace(runners, 9, "v1"); token != 0 || prompt != 0 {
		t.Errorf("got %v and %v with a layer that nobody holds, want 0", token, prompt)
	}
}
