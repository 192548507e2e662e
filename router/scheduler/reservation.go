package scheduler

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// holdFraction is the share of the time until its first token is due for which a request may
// hold back smaller ones.
const holdFraction = 0.25

// heldBack reports whether w, which has found a chain, has to wait because a larger request that
// has waited longer needs the memory. heads are the first requests of the customers of its
// class.
func (p *Pool) heldBack(now time.Time, heads []*waitingRequest, w *waitingRequest) bool {
	if p.holdsBack(now, longestWaiting(heads, false), w) {
		return true
	}
	return w.late && p.holdsBack(now, longestWaiting(heads, true), w)
}

// longestWaiting returns, of the requests with a promise that can be on time or of those that
// can't, the one that has waited longest; nil if there is none. One that avoids endpoints may
// find no chain for another reason than its size.
func longestWaiting(heads []*waitingRequest, late bool) *waitingRequest {
	var longest *waitingRequest
	for _, w := range heads {
		if w.ask.Promise == nil || w.late != late || len(w.ask.Avoid) > 0 {
			continue
		}
		if longest == nil || w.since.Before(longest.since) {
			longest = w
		}
	}
	return longest
}

// holdsBack reports whether h, which may be nil, holds back w.
func (p *Pool) holdsBack(now time.Time, h, w *waitingRequest) bool {
	if h == nil || h == w || p.size(h.ask) <= p.size(w.ask) {
		return false
	}
	if !h.holdUntil.IsZero() {
		return now.Before(h.holdUntil) && p.plan(h.ask) == nil
	}
	window := scale(h.ask.Promise.FirstToken, holdFraction)
	if window <= 0 || p.plan(h.ask) != nil || !p.fitsAfter(now, h.ask, window) {
		return false
	}
	h.holdUntil = now.Add(window)
	return true
}

// size returns the memory that a needs, in tokens.
func (p *Pool) size(a Ask) identifier.Tokens {
	need := p.need(a, "")
	return need.Tokens()
}

// fitsAfter reports whether a, which finds no chain now, is expected to find one after d if
// nothing else starts until then: if not, it would hold back others in vain.
func (p *Pool) fitsAfter(now time.Time, a Ask, d time.Duration) bool {
	defer p.updateLoads(now)
	ended := make(map[*stageLoad]int)
	for _, active := range p.active {
		if active.stalled || active.since.Add(p.runTime(active.ask)).After(now.Add(d)) {
			continue
		}
		for _, h := range active.loads {
			// A load that two tickets share ends with the last of them.
			if ended[h]++; ended[h] < h.tickets {
				continue
			}
			if r := p.runner(h.stage.EndpointIncarnation); r != nil {
				r.ReservedTokens -= scale(h.tokens, h.fraction)
			}
		}
	}
	return p.plan(a) != nil
}
