package mover

import (
	"slices"
	"time"
)

const (
	// Limit is the number of streams that one instance moves at the same time, until their new
	// stages have read the prompt: a stage that reads for all of its new streams at once
	// serves none of them in time.
	Limit = 16
	// lateLimit is the part of Limit that streams may use that can't be on time any more.
	// They may wait long for a chain, and must not hold up those that can still be on time.
	lateLimit = 12
)

// Stream is a stream that is to be moved.
type Stream struct {
	// LastEvent is when its caller received the last event, and LongestPause the longest
	// pause that the caller accepts.
	LastEvent    time.Time
	LongestPause time.Duration
	// Expected is how long the move takes from its start until the next event.
	Expected time.Duration
	// Order is the urgency; 0 is the most urgent.
	Order int
}

// Slack returns the time that is left for the move to start, if its caller is to see no pause
// that is too long; below 0 if it can't be on time any more.
func (s Stream) Slack(now time.Time) time.Duration {
	return s.LongestPause - now.Sub(s.LastEvent) - s.Expected
}

// OnTime reports whether the move, started at now, can end within the pause that the caller
// accepts.
func (s Stream) OnTime(now time.Time) bool {
	return s.Slack(now) > 0
}

// Before reports whether s is to be moved before t: first the streams that can be on time, least
// slack first and at equal slack the more urgent first, then the others, the more urgent first.
func (s Stream) Before(t Stream, now time.Time) bool {
	onTime := s.OnTime(now)
	if onTime != t.OnTime(now) {
		return onTime
	}
	if onTime && s.Slack(now) != t.Slack(now) {
		return s.Slack(now) < t.Slack(now)
	}
	return s.Order < t.Order
}

// Queue holds the moves that wait for their turn, and counts those that run. Streams that neither
// precedes the other keep the order in which they were added. The zero value is empty.
type Queue[T comparable] struct {
	waiting []entry[T]
	// running holds, for each move that runs, whether it could not be on time when it
	// started.
	running map[T]bool
	late    int
}

// entry is a move that waits.
type entry[T comparable] struct {
	stream Stream
	move   T
}

// Add adds a move of a stream.
func (q *Queue[T]) Add(s Stream, move T) {
	q.waiting = append(q.waiting, entry[T]{
		stream: s,
		move:   move,
	})
}

// Remove removes a move that waits. It reports whether the move was waiting.
func (q *Queue[T]) Remove(move T) bool {
	i := slices.IndexFunc(q.waiting, func(e entry[T]) bool { return e.move == move })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Next returns the move that is to start now, and counts it as running until End; ok is false
// if none may start.
func (q *Queue[T]) Next(now time.Time) (move T, ok bool) {
	if len(q.waiting) == 0 || len(q.running) >= Limit {
		return move, false
	}
	best := 0
	for i, e := range q.waiting {
		if e.stream.Before(q.waiting[best].stream, now) {
			best = i
		}
	}
	e := q.waiting[best]
	late := !e.stream.OnTime(now)
	if late && q.late >= lateLimit {
		return move, false
	}
	if late {
		q.late++
	}
	if q.running == nil {
		q.running = make(map[T]bool)
	}
	q.running[e.move] = late
	q.waiting = slices.Delete(q.waiting, best, best+1)
	return e.move, true
}

// End ends a move that runs.
func (q *Queue[T]) End(move T) {
	late, ok := q.running[move]
	if !ok {
		return
	}
	delete(q.running, move)
	if late {
		q.late--
	}
}

// estimateGain is the smoothing factor of the expected time of a move.
const estimateGain = 0.2

// Estimate is the expected time of a move, learnt from those that ended; the zero value knows
// none.
type Estimate struct {
	mean time.Duration
}

// Add adds the time that a move took.
func (e *Estimate) Add(d time.Duration) {
	if e.mean == 0 {
		e.mean = d
		return
	}
	e.mean += fraction(d-e.mean, estimateGain)
}

// Value returns the expected time of a move of a stream whose caller accepts the given longest
// pause.
func (e *Estimate) Value(longestPause time.Duration) time.Duration {
	if e == nil || e.mean == 0 {
		return Expected(longestPause)
	}
	return e.mean
}
