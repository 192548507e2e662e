package budgeter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhold.dev/router/budgeter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a request, or a retry that was allowed.
type event struct {
	at    time.Time
	retry bool
}

// TestRetriesExceedLimitInSomeWindow guards against a window, wherever it starts, with more
// retries than the requests of that window and the burst allow.
func TestRetriesExceedLimitInSomeWindow(t *testing.T) {
	limits := budgeter.Limits{
		Ratio:  0.1,
		Burst:  20,
		Window: 10 * time.Second,
	}
	rapid.Check(t, func(t *rapid.T) {
		b := budgeter.Budget{Limits: limits}
		now := start
		var events []event
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause-ms")) * time.Millisecond)
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				b.Request(now)
				events = append(events, event{at: now})
			}
			for range rapid.IntRange(0, 30).Draw(t, "wanted") {
				if b.Take(now) {
					events = append(events, event{
						at:    now,
						retry: true,
					})
				}
			}
		}
		for _, last := range events {
			requests, retries := 0, 0
			for _, e := range events {
				age := last.at.Sub(e.at)
				switch {
				case age < 0 || age > limits.Window:
				case e.retry:
					retries++
				default:
					requests++
				}
			}
			got, want := float64(retries), limits.Ratio*float64(requests)+limits.Burst
			if last.retry && got > want {
				t.Fatalf("got %v retries within %v until %v, want at most %v", got, limits.Window, last.at.Sub(start), want)
			}
		}
	})
}

// TestNewOwnerSpendsBurstAgain guards against an owner that starts with a whole burst right
// after another owner has spent its own.
func TestNewOwnerSpendsBurstAgain(t *testing.T) {
	b := budgeter.Budget{Limits: budgeter.Limits{
		Burst:  20,
		Window: 10 * time.Second,
	}}
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{
		{after: 0, want: 0},
		{after: 5 * time.Second, want: 10},
		{after: 20 * time.Second, want: 20},
	} {
		if got := b.Remaining(start.Add(c.after)); got != c.want {
			t.Errorf("after %v: got %v retries left, want %v", c.after, got, c.want)
		}
	}
}

// TestZeroBudget requires that a budget without limits allows no retries.
func TestZeroBudget(t *testing.T) {
	var b budgeter.Budget
	b.Request(start)
	if b.Take(start) {
		t.Error("got a retry, want none")
	}
}
