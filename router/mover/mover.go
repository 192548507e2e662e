// Package mover decides when a stream counts as stalled, how the longest pause that its caller
// accepts is divided between the steps of a move to another chain, and which streams move
// first. It does no I/O and reads no clock: the caller passes the time.
package mover

import (
	"time"
)

// Fractions of the longest pause that the steps of a move may take. The rest, 0.15, is for the
// ticket and the order, which have time limits of their own.
const (
	noticeFraction   = 0.30
	questionFraction = 0.15
	readingFraction  = 0.40
)

const (
	// unknownNoticeFraction is the notice of a stream whose pace is not known.
	unknownNoticeFraction = 0.45
	// paceFactor is the ratio of a stalled stream's time without an event to its mean time
	// between events. It also holds for a stream that is too slow to be moved within its
	// longest pause: its endpoints are not to be asked between any two of its events.
	paceFactor = 1.5
	// minNotice is the shortest time without an event that counts as a stall.
	minNotice = 60 * time.Millisecond
	// minQuestion and maxQuestion limit the wait for an endpoint's report: a busy endpoint
	// answers later than an idle one, and a round of checks waits for the answers.
	minQuestion = 20 * time.Millisecond
	maxQuestion = 60 * time.Millisecond
)

// fraction returns a fraction of a duration.
func fraction(d time.Duration, f float64) time.Duration {
	return time.Duration(f * float64(d))
}

// Notice returns the time without an event after which a stream counts as stalled, given the
// longest pause that its caller accepts.
func Notice(longestPause time.Duration, p Pace) time.Duration {
	mean, known := p.Mean()
	if !known {
		return max(fraction(longestPause, unknownNoticeFraction), minNotice)
	}
	shortest := fraction(longestPause, noticeFraction)
	return max(shortest, fraction(mean, paceFactor), minNotice)
}

// FirstNotice returns the time without an event after which a stream that has had none counts
// as stalled, given the target for its first event.
func FirstNotice(target time.Duration) time.Duration {
	return max(fraction(target, unknownNoticeFraction), minNotice)
}

// Question returns how long to wait for the report of an endpoint that holds up a stream, given
// the longest pause that the stream's caller accepts; 0 if none is declared.
func Question(longestPause time.Duration) time.Duration {
	if longestPause <= 0 {
		return maxQuestion
	}
	return min(max(fraction(longestPause, questionFraction), minQuestion), maxQuestion)
}

// Reading returns the time that a new stage is given to read the prompt of a stream that was
// moved to it.
func Reading(longestPause time.Duration) time.Duration {
	return fraction(longestPause, readingFraction)
}

// Expected returns how long the rest of a move takes from the request for a ticket on, as long
// as none was observed. The ticket and the order usually take a small part of their share; if
// it counted in full, no stream would be expected to be on time.
func Expected(longestPause time.Duration) time.Duration {
	return Reading(longestPause)
}
