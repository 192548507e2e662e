package scheduler

import (
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
	if c.key.tier != identifier.Paying || c.rank.Order > p.mostUrgentOrder() || !p.withinGuarantee(now, c) {
		return
	}
	pending := 0
	for _, active := range p.active {
		if active.revoked {
			pending++
		}
	}
	for range min(p.longWaiting(now, c), maxRevoked) - pending {
		active := p.victim(now, c)
		if active == nil {
			return
		}
		active.revoked = true
		p.decisions = append(p.decisions, Decision{
			Verdict: Revoked,
			Request: active.ask.Request,
		})
	}
}

// preemptWaitFraction is the fraction of its maximum wait for which a request
// waits for a chain to become free before it causes preemption.
const preemptWaitFraction = 0.25

// longWaiting returns how many requests of c have waited long enough to cause
// preemption.
func (p *Pool) longWaiting(now time.Time, c *class) int {
	minWait := time.Duration(preemptWaitFraction * float64(c.rank.MaxWait.Std()))
	n := 0
	for _, u := range c.customers {
		for _, w := range u.queue {
			if now.Sub(w.since) >= minWait {
				n++
			}
		}
	}
	return n
}

// mostUrgentOrder returns the order of the most urgent declared rank.
func (p *Pool) mostUrgentOrder() int {
	order := int(^uint(0) >> 1)
	for _, r := range p.policy.Ranks {
		order = min(order, r.Order)
	}
	return order
}

// victim returns the active request to preempt for c: of those that may be
// preempted and whose chain meets c's target, the last to start in the least
// urgent class; nil if there is none.
func (p *Pool) victim(now time.Time, c *class) *activeRequest {
	var best *activeRequest
	for _, active := range p.active {
		if active.revoked || !c.before(active.class) || active.class.rank.Order == c.rank.Order || p.withinGuarantee(now, active.class) || !p.meetsTarget(c, active.chain) {
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
	return c.decayedTokens(now) <= total*c.guarantee
}
