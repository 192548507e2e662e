package granter

import (
	"time"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/scheduler"
)

// retryWait is after which time a request may try again that was refused a retry.
const retryWait = 500 * time.Millisecond

// admitRetry charges the shared budget for the retry that an ask wants. It reports whether
// the ask may be scheduled; if not, it has been refused. An ask that wants no retry from the
// shared budget may always be.
func (g *Granter) admitRetry(now time.Time, session *Session, a *messenger.Ask) bool {
	p := session.pool
	request := identifier.Request(a.GetRequest())
	if p.scheduler.Holds(request) || p.paid[request] {
		// The ask was sent twice.
		return true
	}
	if !a.GetRetry() {
		if a.GetFirst() {
			p.budget.Request(now)
		}
		return true
	}
	granted := p.budget.Take(now)
	if g.OnRetry != nil {
		g.OnRetry(p.key.Service, granted)
	}
	if granted {
		p.paid[request] = true
		return true
	}
	p.dropRequest(request)
	m := &messenger.FromOwner{}
	addDecision(m, scheduler.Decision{
		Verdict:    scheduler.Refused,
		Request:    request,
		Kind:       classifier.Overloaded,
		Detail:     "no retry is left in the budget that all instances share",
		RetryAfter: retryWait,
	}, p.revision())
	m.Refusals[0].Retry = true
	session.out.Add(m)
	return false
}

// returnRetry gives back the retry that the budget has paid for a request, if it did.
func (p *pool) returnRetry(now time.Time, r identifier.Request) {
	if p.paid[r] {
		delete(p.paid, r)
		p.budget.Return(now)
	}
}
