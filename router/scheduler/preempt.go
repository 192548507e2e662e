package scheduler

import (
	"cmp"
	"slices"
	"time"

	"heatherhold.dev/core/identifier"
)

// maxRevoked bounds the number of chains that are revoked but not yet released.
const maxRevoked = 8

// preempt revokes chains of the least urgent active requests when a request of c
// finds no chain. It does so only if c is paying work of the most urgent rank and
// is within its guaranteed share. It never revokes chains of requests that are as
// urgent, or of a class that is itself within its guaranteed share.
func (p *Pool) preempt(now time.Time, c *class) {
	if c.key.tier != identifier.Paying || c.rank.Order > p.mostUrgentOrder(now) || !p.withinGuarantee(now, c) {
		return
	}
	pending := 0
	for _, active := range p.active {
		if active.revoked {
			pending++
		}
	}
	waiting := c.longWaiting(now)
	waiting = waiting[:min(len(waiting), maxRevoked)]
	for _, w := range waiting[min(pending, len(waiting)):] {
		active := p.victim(now, c, w)
		if active == nil {
			continue
		}
		active.revoked = true
		p.decisions = append(p.decisions, Decision{
			Verdict: Revoked,
			Request: active.ask.Request,
		})
	}
}

// longWaiting returns the requests of c that have waited long enough to cause
// preemption, the one that has waited longest first. One that can't be on time causes none.
func (c *class) longWaiting(now time.Time) []*waitingRequest {
	var out []*waitingRequest
	for _, u := range c.customers {
		for _, w := range u.queue {
			if now.Sub(w.since) >= c.targetsOf(w.ask).preemptWait {
				out = append(out, w)
			}
		}
	}
	slices.SortFunc(out, func(a, b *waitingRequest) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.ask.Request, b.ask.Request))
	})
	return out
}

// victim returns the active request to preempt for request w of c: of those that may
// be preempted and whose chain meets the token interval of w, the last to start in the
// least urgent class; nil if there is none.
func (p *Pool) victim(now time.Time, c *class, w *waitingRequest) *activeRequest {
	interval := c.targetsOf(w.ask).betweenTokens
	var best *activeRequest
	for _, active := range p.active {
		if active.revoked || !c.before(active.class) || active.class.rank.Order == c.rank.Order || p.withinGuarantee(now, active.class) || !p.meetsInterval(interval, active.chain) {
			continue
		}
		if best == nil || betterVictim(active, best) {
			best = active
		}
	}
	return best
}

// betterVictim reports whether a is to be preempted rather than b.
func betterVictim(a, b *activeRequest) bool {
	if a.class != b.class {
		return b.class.before(a.class)
	}
	if !a.since.Equal(b.since) {
		return a.since.After(b.since)
	}
	return a.ask.Request < b.ask.Request
}

// withinGuarantee reports whether c is at or below its guaranteed share of the
// recent tokens; false if it has no guaranteed share.
func (p *Pool) withinGuarantee(now time.Time, c *class) bool {
	if c.guarantee <= 0 {
		return false
	}
	total := 0.0
	for _, other := range p.classOrder {
		total += other.decayedTokens(now)
	}
	return c.decayedTokens(now) <= total*p.guaranteeFactor(now)*c.guarantee
}
