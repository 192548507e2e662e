package mover_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhold.dev/router/mover"
)

// silentFor returns a stream whose caller accepts a pause of 250 ms, and whose move takes 100 ms,
// at now.
func silentFor(now time.Time, d time.Duration, order int) mover.Stream {
	return mover.Stream{
		LastEvent:    now.Add(-d),
		LongestPause: 250 * ms,
		Expected:     100 * ms,
		Order:        order,
	}
}

// TestMovesInWrongOrder guards against streams that can still be on time and wait behind those
// that are late whatever is done, or behind those that have more time left.
func TestMovesInWrongOrder(t *testing.T) {
	now := time.Unix(0, 0)
	longer := silentFor(now, 200*ms, 3)
	longer.LongestPause = time.Second
	slower := silentFor(now, 100*ms, 3)
	slower.Expected = 160 * ms
	for _, c := range []struct {
		name   string
		first  mover.Stream
		second mover.Stream
	}{
		{name: "least slack", first: silentFor(now, 120*ms, 5), second: silentFor(now, 80*ms, 0)},
		{name: "the more urgent at equal slack", first: silentFor(now, 100*ms, 0), second: silentFor(now, 100*ms, 1)},
		{name: "on time before late", first: silentFor(now, 80*ms, 5), second: silentFor(now, 160*ms, 0)},
		{name: "exactly used up is late", first: silentFor(now, 80*ms, 5), second: silentFor(now, 150*ms, 0)},
		{name: "the more urgent of two late ones", first: silentFor(now, 200*ms, 0), second: silentFor(now, 900*ms, 1)},
		{name: "a longer pause leaves time", first: longer, second: silentFor(now, 160*ms, 0)},
		{name: "a slow move counts", first: silentFor(now, 10*ms, 5), second: slower},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !c.first.Before(c.second, now) || c.second.Before(c.first, now) {
				t.Errorf("got %v before %v %t and the reverse %t, want true and false", c.first, c.second, c.first.Before(c.second, now), c.second.Before(c.first, now))
			}
			var q mover.Queue[int]
			q.Add(c.second, 2)
			q.Add(c.first, 1)
			if got, ok := q.Next(now); !ok || got != 1 {
				t.Errorf("got move %d first, want 1", got)
			}
		})
	}
}

// TestLateMovesBlockTimelyOnes guards against streams that are late whatever is done and use every
// place while they wait for a chain.
func TestLateMovesBlockTimelyOnes(t *testing.T) {
	now := time.Unix(0, 0)
	var q mover.Queue[int]
	for i := range 3 * mover.Limit {
		q.Add(silentFor(now, time.Second, 0), i)
	}
	late := 0
	for {
		if _, ok := q.Next(now); !ok {
			break
		}
		late++
	}
	if late == 0 || late >= mover.Limit {
		t.Errorf("got %d late moves that run, want some and fewer than %d", late, mover.Limit)
	}
	q.Add(silentFor(now, 0, 9), -1)
	if got, ok := q.Next(now); !ok || got != -1 {
		t.Errorf("got move %d (%t) beside late ones, want the one that can be on time", got, ok)
	}
	q.End(0)
	if _, ok := q.Next(now); !ok {
		t.Error("got no move after one has ended, want the next late one")
	}
}

// TestMovesBounded draws moves, turns and ends. It guards against more moves at once than the
// bound, against a move that starts before one that precedes it, and against moves that are lost.
func TestMovesBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var q mover.Queue[int]
		waiting := make(map[int]mover.Stream)
		var running []int
		added := 0
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				s := silentFor(now, time.Duration(rapid.IntRange(0, 400).Draw(t, "silent"))*ms, rapid.IntRange(0, 3).Draw(t, "order"))
				waiting[added] = s
				q.Add(s, added)
				added++
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * ms)
			},
			"next": func(t *rapid.T) {
				move, ok := q.Next(now)
				if !ok {
					if len(waiting) > 0 && len(running) < 12 {
						t.Fatalf("got no move with %d waiting and %d running", len(waiting), len(running))
					}
					return
				}
				started, known := waiting[move]
				if !known {
					t.Fatalf("got move %d, which was not waiting", move)
				}
				delete(waiting, move)
				for other, s := range waiting {
					if s.Before(started, now) {
						t.Fatalf("got move %d before %d, which precedes it", move, other)
					}
				}
				running = append(running, move)
				if len(running) > mover.Limit {
					t.Fatalf("got %d moves at once, want %d at most", len(running), mover.Limit)
				}
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("none runs")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "ended")
				q.End(running[i])
				running = slices.Delete(running, i, i+1)
			},
			"remove": func(t *rapid.T) {
				if added == 0 {
					t.Skip("none was added")
				}
				move := rapid.IntRange(0, added-1).Draw(t, "removed")
				_, waits := waiting[move]
				if got := q.Remove(move); got != waits {
					t.Fatalf("remove: got %t, want %t", got, waits)
				}
				delete(waiting, move)
			},
		})
	})
}

// TestOrderIsStrict draws three streams and guards against an order that depends on which two are
// compared first.
func TestOrderIsStrict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		draw := func() mover.Stream {
			s := silentFor(now, time.Duration(rapid.IntRange(0, 30).Draw(t, "silent"))*10*ms, rapid.IntRange(0, 2).Draw(t, "order"))
			s.LongestPause = time.Duration(rapid.IntRange(1, 4).Draw(t, "pause")) * 100 * ms
			return s
		}
		a, b, c := draw(), draw(), draw()
		if a.Before(b, now) && b.Before(a, now) {
			t.Fatalf("%v and %v precede each other", a, b)
		}
		if a.Before(b, now) && b.Before(c, now) && !a.Before(c, now) {
			t.Fatalf("%v precedes %v and that %v, but the first not the last", a, b, c)
		}
	})
}

// TestEstimate requires that the expected time of a move follows those that ended.
func TestEstimate(t *testing.T) {
	var none *mover.Estimate
	if got, want := none.Value(200*ms), mover.Expected(200*ms); got != want {
		t.Errorf("expected time without a move: got %v, want %v", got, want)
	}
	e := &mover.Estimate{}
	for range 30 {
		e.Add(80 * ms)
	}
	if got, want := e.Value(200*ms), 80*ms; got != want {
		t.Errorf("expected time after moves of 80 ms: got %v, want %v", got, want)
	}
}
