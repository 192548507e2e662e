package pacer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhold.dev/router/pacer"
)

// TestLimitInAnyWindow requires, over drawn limits and times of requests, that no 4 s see
// more than one and a half times the limit and five requests.
func TestLimitInAnyWindow(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.05, 300).Draw(t, "limit")
		now := time.Unix(1000, 0)
		b := &pacer.Bucket{}
		b.Limit(now, limit)
		var sent []time.Time
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if b.Wait(now) == 0 {
				b.Take(now)
				sent = append(sent, now)
			}
			b.Limit(now, limit)
		}
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) > window {
				first++
			}
			if got, most := float64(i-first+1), 1.5*limit*window.Seconds()+5; got > most {
				t.Fatalf("got %g requests in %v with a limit of %g, want at most %g", got, window, limit, most)
			}
		}
	})
}

// TestWaitIsTrue requires that a request may be sent after the wait.
func TestWaitIsTrue(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &pacer.Bucket{}
	b.Limit(now, 0.5)
	wait := b.Wait(now)
	if wait <= 0 || wait > 3*time.Second {
		t.Fatalf("got a wait of %v at the start, want up to 3s", wait)
	}
	if got := b.Wait(now.Add(wait + time.Millisecond)); got != 0 {
		t.Errorf("got a wait of %v after the first one, want none", got)
	}
}

// TestLimitEnds guards against a limit that stays in force once answers name none, and
// against one that a late answer ends.
func TestLimitEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	named := start.Add(time.Second)
	n := &pacer.Named{}
	if !n.Update(named, named, 3) {
		t.Error("got no change for a new limit, want one")
	}
	if n.Update(named, start, 0) || n.PerSecond != 3 {
		t.Error("the answer to an older request ended the limit")
	}
	if !n.Update(named.Add(time.Second), named.Add(time.Millisecond), 0) || n.PerSecond != 0 {
		t.Error("the limit did not end with an answer that names none")
	}
	b := &pacer.Bucket{}
	b.Limit(named, 3)
	b.Limit(named, 0)
	if got := b.Wait(named); got != 0 {
		t.Errorf("got a wait of %v without a limit, want none", got)
	}
}

// TestSameLimitReportedAgain guards against a limit that others lost, or saw the end of,
// and are not told again because its number did not change here.
func TestSameLimitReportedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	n := &pacer.Named{}
	n.Update(now, now, 3)
	if !n.Report(now) || n.Report(now) {
		t.Error("want one report of a new limit")
	}
	now = now.Add(2 * time.Second)
	n.Update(now, now, 3)
	if !n.Report(now) {
		t.Error("got no report of a limit that is named again after two seconds, want one")
	}
	n.Update(now, now, 4)
	if !n.Report(now) {
		t.Error("got no report of a changed limit, want one")
	}
}
