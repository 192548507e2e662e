package scheduler

import (
	"time"
)

// Promise is what a request's route promises its caller. The times count from when the
// ask arrives.
type Promise struct {
	// FirstToken is the time until the first token is due; negative once it is past due.
	FirstToken time.Duration
	// BetweenTokens is the longest pause between two events; 0 if none is declared.
	BetweenTokens time.Duration
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Patience is the time after which the caller leaves if it has received nothing; 0 if it is
	// not known.
	Patience time.Duration
}

// targets are the times by which one request is scheduled. They come from its promise
// or, if it has none, from the terms of its rank.
type targets struct {
	// fasterChainWait is how long the request waits for a chain that meets its interval
	// while a slower one is free.
	fasterChainWait time.Duration
	// preemptWait is how long the request waits for a chain to become free before it
	// causes preemption.
	preemptWait time.Duration
	// betweenTokens is the required token interval; 0 if none is required.
	betweenTokens time.Duration
}

const (
	// targetWaitFraction is the fraction of its wait limit for which a request of the
	// most urgent rank waits for a chain that meets its target while a slower one is
	// free.
	targetWaitFraction = 0.5
	// preemptWaitFraction is the fraction of its wait limit for which a request waits
	// for a chain to become free before it causes preemption.
	preemptWaitFraction = 0.25
	// waitFactor is the wait limit to which these fractions refer for a request with a
	// promise, as a multiple of the time until its first token is due.
	waitFactor = 2
)

// longestWait returns how long a request of class c that arrives now may wait for a chain.
// One with a promise may be late, but its deadline has to leave time for its whole response,
// and its first token has to arrive before its caller leaves.
func (p *Pool) longestWait(c *class, a Ask) time.Duration {
	switch {
	case a.Resumed:
		return maxResumedWait
	case a.Promise != nil:
		wait := a.Promise.Remaining - p.runTime(a)
		if a.Promise.Patience != 0 {
			wait = min(wait, scale(a.Promise.Patience, 1-startMargin)-p.pace.start(a))
		}
		return max(wait, minPromisedWait)
	}
	return c.rank.MaxWait.Std()
}

// targetsOf returns the targets of a request of class c.
func (c *class) targetsOf(a Ask) targets {
	limit := c.rank.MaxWait.Std()
	interval := c.rank.BetweenTokens.Std()
	if a.Promise != nil {
		interval = a.Promise.BetweenTokens
	}
	// The first token of a resumed request is past due: its wait has the limit of its rank.
	if a.Promise != nil && !a.Resumed {
		limit = waitFactor * max(a.Promise.FirstToken, 0)
	}
	return targets{
		fasterChainWait: scale(limit, targetWaitFraction),
		preemptWait:     scale(limit, preemptWaitFraction),
		betweenTokens:   interval,
	}
}

// idle reports whether c had no requests of late.
func (c *class) idle(now time.Time) bool {
	return c.waiting == 0 && c.decayedTokens(now) < 1
}

// guaranteeFactor returns the factor by which the guaranteed shares are larger at now than
// declared: what is reserved for ranks that exist only because a customer has their order
// goes to the other ranks while these ranks have no requests.
func (p *Pool) guaranteeFactor(now time.Time) float64 {
	declared, reserved := p.guaranteedShare, p.customerOnlyShare
	if reserved <= 0 || reserved >= declared {
		return 1
	}
	for _, c := range p.classOrder {
		if c.rank.CustomerOnly && !c.idle(now) {
			reserved -= c.guarantee
		}
	}
	return declared / (declared - max(reserved, 0))
}

// updateShares calculates the sums of the guaranteed shares.
func (p *Pool) updateShares() {
	p.guaranteedShare, p.customerOnlyShare = 0, 0
	for _, r := range p.policy.Ranks {
		p.guaranteedShare += r.GuaranteedShare
		if r.CustomerOnly {
			p.customerOnlyShare += r.GuaranteedShare
		}
	}
}

// mostUrgentOrder returns the order of the most urgent declared rank. A rank that exists
// only because a customer has its order counts while it has requests.
func (p *Pool) mostUrgentOrder(now time.Time) int {
	order := int(^uint(0) >> 1)
	for _, r := range p.policy.Ranks {
		if !r.CustomerOnly {
			order = min(order, r.Order)
		}
	}
	for _, c := range p.classOrder {
		if c.rank.CustomerOnly && !c.idle(now) {
			order = min(order, c.rank.Order)
		}
	}
	return order
}
