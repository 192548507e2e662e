package scheduler

import (
	"math"
	"slices"
	"time"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
)

const (
	// startMargin is the fraction of the time to the first token that is reserved for what the
	// prediction omits, mainly the network delay to the first stage and back. In a full queue
	// requests start close to their due time, so that a margin that is too small makes many
	// of them late.
	startMargin = 0.2
	// minPromisedWait is how long a request waits at least, so that one that a free chain
	// can serve is tried before it is refused by a prediction.
	minPromisedWait = 50 * time.Millisecond
	// paceGain is the smoothing factor of the observed pace, and minPaceRatio and
	// maxPaceRatio limit what one request changes.
	paceGain     = 0.1
	minPaceRatio = 0.25
	maxPaceRatio = 4.0
)

// pace is how long requests take at the mean speed of the pool's endpoints.
type pace struct {
	token  time.Duration
	prompt time.Duration
	// ratio is that of the observed to the calculated durations; 0 if there is none.
	ratio float64
}

// update recalculates the times. The observed ratio is kept; while some layer has no runner, the
// times are kept as well.
func (x *pace) update(policy *Policy, runners []planner.Runner) {
	token, prompt := planner.Pace(runners, policy.Layers, policy.Version)
	if token > 0 {
		x.token, x.prompt = token, prompt
	}
}

// start returns the predicted time from the grant to the first token.
func (x *pace) start(a Ask) time.Duration {
	return time.Duration(float64(a.Prompt)*float64(x.prompt)) + x.token
}

// run returns the calculated time that a takes with a response of the given length.
func (x *pace) run(a Ask, tokens float64) time.Duration {
	return x.start(a) + time.Duration(tokens*float64(x.token))
}

// observed returns d, a calculated duration, as it was observed to be.
func (x *pace) observed(d time.Duration) time.Duration {
	if x.ratio <= 0 {
		return d
	}
	return scale(d, x.ratio)
}

// observe records that a took d for a response of the given length.
func (x *pace) observe(a Ask, tokens identifier.Tokens, d time.Duration) {
	calculated := x.run(a, float64(tokens))
	if calculated <= 0 {
		return
	}
	ratio := math.Max(minPaceRatio, math.Min(float64(d)/float64(calculated), maxPaceRatio))
	if x.ratio <= 0 {
		x.ratio = 1
	}
	x.ratio += paceGain * (ratio - x.ratio)
}

// runTime returns the predicted time that a takes from the grant to its last token.
func (p *Pool) runTime(a Ask) time.Duration {
	return p.pace.observed(p.pace.run(a, p.lengths.predict(a)))
}

// lateTime returns when a, which arrives at now, can no longer be on time; the zero time if
// a has no promise or its caller has a part of the response already.
func (p *Pool) lateTime(now time.Time, a Ask) time.Time {
	if a.Promise == nil || a.Resumed {
		return time.Time{}
	}
	return now.Add(dueAfter(a) - p.pace.start(a))
}

// dueAfter returns how long after its arrival a request with a promise is to have its first
// token, less the margin.
func dueAfter(a Ask) time.Duration {
	return scale(a.Promise.FirstToken, 1-startMargin)
}

// chainStart returns the predicted time from now to the first token of a on a chain: each
// stage reads the prompt after those that were assigned to it earlier.
func (p *Pool) chainStart(a Ask, chain []identifier.Stage) time.Duration {
	return p.readingTime(a, chain, func(r *planner.Runner) identifier.Tokens { return r.Cached })
}

// readingTime is chainStart with the given number of prompt tokens that a runner has cached.
func (p *Pool) readingTime(a Ask, chain []identifier.Stage, cached func(*planner.Runner) identifier.Tokens) time.Duration {
	d := time.Duration(0)
	links := observedLinks{pool: p}
	centre := a.Entry
	for _, s := range chain {
		r := p.runner(s.EndpointIncarnation)
		if r == nil {
			continue
		}
		prompt := max(a.Prompt-cached(r), 0)
		d = max(d+links.Delay(centre, r.DataCentre), r.Backlog)
		d += scale(time.Duration(prompt)*r.PrefillTime+r.TokenTime, p.layerFraction(s))
		centre = r.DataCentre
	}
	return d
}

// startsLate reports whether w, which can be on time, would be late on a chain.
func (p *Pool) startsLate(now time.Time, w *waitingRequest, chain []identifier.Stage) bool {
	if w.late || w.lateAt.IsZero() {
		return false
	}
	return now.Add(p.chainStart(w.ask, chain)).After(w.since.Add(dueAfter(w.ask)))
}

// markLate moves w behind the requests of its class that can be on time.
func (c *class) markLate(w *waitingRequest) {
	u := c.customers[w.ask.Customer]
	i := slices.Index(u.queue, w)
	if i < 0 {
		return
	}
	w.late = true
	u.queue = slices.Delete(u.queue, i, i+1)
	u.late = append(u.late, w)
	u.lateCost += w.cost
}

// updateLate moves the requests that can no longer be on time behind the others.
func (c *class) updateLate(now time.Time) {
	for _, u := range c.customers {
		var late []*waitingRequest
		for _, w := range u.queue {
			if !w.lateAt.IsZero() && !now.Before(w.lateAt) {
				late = append(late, w)
			}
		}
		for _, w := range late {
			c.markLate(w)
		}
	}
}

// makeRoom refuses the last late request of a customer whose queue is full, so that one that
// can be on time gets its place. It reports whether there was one.
func (p *Pool) makeRoom(now time.Time, c *class, w *waitingRequest) bool {
	u, ok := c.customers[w.ask.Customer]
	if !ok || len(u.late) == 0 || w.lateAt.IsZero() || !now.Before(w.lateAt) {
		return false
	}
	last := u.late[len(u.late)-1]
	c.remove(last)
	delete(p.waiting, last.ask.Request)
	p.refuse(last.ask.Request, classifier.Overloaded, "the customer's queue for this rank is full, and a later request can still be on time", p.retryAfter(now, c, last, last.deadline.Sub(last.since)))
	return true
}

// servedRate returns the rate at which the pool works through its queue while it is full, in
// tokens a second: where the memory and not the slots limits it, only the active requests
// produce tokens.
func (p *Pool) servedRate(now time.Time) float64 {
	rate := p.workingCapacity(now)
	if token := p.pace.observed(p.pace.token); len(p.active) > 0 && token > 0 {
		rate = math.Min(rate, float64(len(p.active))/token.Seconds())
	}
	return rate
}

// estimatePromisedWait predicts how long a request with a promise would wait. If it can be on
// time, only the requests of its class that can be as well go before it.
func (p *Pool) estimatePromisedWait(now time.Time, c *class, w *waitingRequest) time.Duration {
	if paced := p.paceWait(len(p.waiting)); paced > 0 {
		return paced
	}
	p.updateLoads(now)
	rate := p.servedRate(now)
	if rate <= 0 || len(p.waiting) == 0 || p.plan(w.ask) != nil {
		return 0
	}
	wait := secondsOf(p.tokensAhead(now, c, w, (*account).onTimeCost) / rate)
	if now.Add(wait).Before(w.lateAt) {
		return wait
	}
	return secondsOf(p.tokensAhead(now, c, w, (*account).cost) / rate)
}

// secondsOf returns a number of seconds, of an hour at most, as a duration.
func secondsOf(seconds float64) time.Duration {
	return time.Duration(math.Min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

const (
	// unknownRetryAfter is the time to return if it can't be predicted.
	unknownRetryAfter = time.Second
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	// retryJitter is the largest part by which the time to return is lengthened, so that
	// callers that are refused together don't return together.
	retryJitter = 0.5
)

// retryAfter returns when the caller of a refused request should return: when the work ahead
// of it is expected to be done, or fallback for a request without a promise.
func (p *Pool) retryAfter(now time.Time, c *class, w *waitingRequest, fallback time.Duration) time.Duration {
	if w.ask.Promise == nil {
		return fallback
	}
	after := unknownRetryAfter
	if rate := p.servedRate(now); rate > 0 {
		wait := secondsOf((p.tokensAhead(now, c, w, (*account).cost) + w.cost) / rate)
		after = max(minRetryAfter, min(wait, maxRetryAfter))
	}
	if p.Random == nil {
		return after
	}
	return scale(after, 1+retryJitter*p.Random())
}
