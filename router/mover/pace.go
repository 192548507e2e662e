package mover

import (
	"time"
)

const (
	// minPauses is the number of pauses from which on the pace of a stream is known.
	minPauses = 4
	// paceDecay is the weight of a pause relative to that of the following one.
	paceDecay = 0.95
)

// Pace is the mean time between the events of one stream; the zero value has seen none. Each
// pause counts by its length, so that the pauses between bursts of events outweigh those within
// them: it is the mean pause at a point in time rather than the mean over events. For events
// at a regular interval both are the same.
type Pace struct {
	pauses  int
	sum     float64
	squares float64
}

// Add adds a pause of a stream whose caller accepts the given longest pause. One that counts as
// a stall at any pace is limited: one stall must not delay the notice of the next.
func (p *Pace) Add(pause, longestPause time.Duration) {
	seconds := min(max(pause, 0), fraction(longestPause, unknownNoticeFraction)).Seconds()
	p.pauses = min(p.pauses+1, minPauses)
	p.sum = paceDecay*p.sum + seconds
	p.squares = paceDecay*p.squares + seconds*seconds
}

// Mean returns the mean time between events, and whether enough pauses were seen for it.
func (p Pace) Mean() (time.Duration, bool) {
	if p.pauses < minPauses {
		return 0, false
	}
	if p.sum <= 0 {
		return 0, true
	}
	return time.Duration(p.squares / p.sum * float64(time.Second)), true
}
