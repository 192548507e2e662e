package mover_test

import (
	"testing"
	"time"

	"heatherhold.dev/router/mover"
)

const ms = time.Millisecond

// paceOf returns the pace of a stream with the given pauses, repeated n times.
func paceOf(longestPause time.Duration, n int, pauses ...time.Duration) mover.Pace {
	var p mover.Pace
	for range n {
		for _, d := range pauses {
			p.Add(d, longestPause)
		}
	}
	return p
}

// TestSlowPaceTakenForStall guards against streams whose usual time between events is long and
// whose endpoints are asked although nothing is wrong, and against a late notice of streams that
// can still be moved within the longest pause.
func TestSlowPaceTakenForStall(t *testing.T) {
	const pause = 250 * ms
	for _, c := range []struct {
		name string
		pace mover.Pace
		min  time.Duration
		max  time.Duration
	}{
		{name: "no event but the first", max: 113 * ms, min: 112 * ms},
		{name: "pace not known", pace: paceOf(pause, 1, 20*ms, 20*ms), max: 113 * ms, min: 112 * ms},
		{name: "fast", pace: paceOf(pause, 50, 20*ms), max: 76 * ms, min: 75 * ms},
		{name: "at the fraction", pace: paceOf(pause, 50, 50*ms), max: 76 * ms, min: 75 * ms},
		{name: "slow", pace: paceOf(pause, 50, 60*ms), max: 91 * ms, min: 89 * ms},
		{name: "very slow", pace: paceOf(pause, 50, 110*ms), max: 166 * ms, min: 164 * ms},
		{name: "slower than can be moved in time", pace: paceOf(pause, 50, 200*ms), max: 170 * ms, min: 168 * ms},
		{name: "bursts", pace: paceOf(pause, 12, 0, 0, 0, 90*ms), max: 136 * ms, min: 134 * ms},
		{name: "one stall in the middle", pace: paceOf(pause, 1, append(repeat(20*ms, 30), append([]time.Duration{600 * ms}, repeat(20*ms, 10)...)...)...), max: 76 * ms, min: 75 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := mover.Notice(pause, c.pace); got < c.min || got > c.max {
				t.Errorf("notice: got %v, want %v to %v", got, c.min, c.max)
			}
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}

// TestStepsExceedPause guards against a move whose steps, each at its limit, take longer than the
// pause that the caller accepts.
func TestStepsExceedPause(t *testing.T) {
	for _, pause := range []time.Duration{200 * ms, 250 * ms, 400 * ms, time.Second} {
		fast := paceOf(pause, 20, 10*ms)
		order := time.Duration(0.15 * float64(pause))
		if got := mover.Notice(pause, fast) + mover.Question(pause) + order + mover.Reading(pause); got > pause {
			t.Errorf("steps of a pause of %v: got %v in all", pause, got)
		}
	}
}
