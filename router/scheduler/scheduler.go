// Package scheduler decides, for one pool, which request runs next, on which
// chain, and which requests are refused. It does no I/O and reads no clock: the
// caller passes the time and carries out the decisions. A ticket is the right of one
// request to use a chain until it is released.
//
// Scheduling order. A class is one tier of one rank. A class that has received
// less than its guaranteed share of the recent tokens goes first; then paying work
// goes before free-tier work, and more urgent ranks before others. Inside a class the
// customer that has received the least service relative to its weight goes first.
// Service is counted in tokens: predicted when the request starts and corrected
// when it ends.
package scheduler

import (
	"fmt"
	"time"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/prefixer"
)

// Policy is the declared configuration of a pool.
type Policy struct {
	Layers identifier.Layer
	// Partial allows chains to use a part of the layers that an endpoint holds.
	Partial bool
	Version identifier.Version
	Ranks   map[identifier.Rank]declarer.Rank
	Links   planner.Links
}

// Pool schedules the requests of one service. The zero value is usable and has no
// policy until Configure is called.
type Pool struct {
	// Random, if it is set, returns random numbers of at least 0 and less than 1, by which
	// refused callers are told to return at different times.
	Random func() float64

	policy Policy
	// guaranteedShare is the sum of the guaranteed shares of the policy's ranks, and
	// customerOnlyShare that of the ranks that exist only because a customer has their
	// order.
	guaranteedShare   float64
	customerOnlyShare float64

	// runners is in the order of planner.SortByEnd; runnerStates holds the state of
	// each, and runnerIndex where each is.
	runners      []planner.Runner
	runnerStates []*runnerState
	runnerIndex  map[identifier.EndpointIncarnation]int
	states       map[identifier.EndpointIncarnation]*runnerState
	// capacity is the token rate that the pool can sustain, in tokens a second.
	capacity float64
	working  working
	pace     pace
	// unplaceable is the least size of a request that found no chain in the present
	// round of decisions.
	unplaceable identifier.Tokens
	// cached are the indexes of the runners that have a Cached other than 0, and cachedAt is
	// the time for which it is set.
	cached   []int
	cachedAt time.Time

	classes     map[classKey]*class
	classOrder  []*class
	active      map[identifier.Request]*activeRequest
	waiting     map[identifier.Request]*waitingRequest
	lengths     *lengths
	prefixes    *prefixer.Index
	decisions   []Decision
	extraDelays map[linkKey]float64
}

// waitingRequest is a request that waits for a chain.
type waitingRequest struct {
	ask      Ask
	cost     float64
	since    time.Time
	deadline time.Time
	// lateAt is when the request can no longer be on time; zero if it has no promise. late
	// is set once it is behind the requests that can be.
	lateAt time.Time
	late   bool
	// holdUntil is until when the request holds back smaller ones; zero if it hasn't yet.
	holdUntil time.Time
}

// activeRequest is a request that holds a chain.
type activeRequest struct {
	ask   Ask
	class *class
	chain []identifier.Stage
	// loads are those of the stages, some of which another ticket of the same stream may
	// share.
	loads          []*stageLoad
	cost           float64
	reservedTokens identifier.Tokens
	since          time.Time
	revoked        bool
	// fromQueue is set if the run began when this pool granted the chain.
	fromQueue bool
	// reading is when the first event is expected; zero unless fromQueue is set and the prompt
	// has a beginning. A moved run isn't compared, because only some stages read its prompt.
	reading prefixer.Observation
	// stalled is set while the request makes no progress; its load is not counted.
	stalled bool
}

// Limits and weights that are the same for every pool.
const (
	// promptTokenCost is the cost of a prompt token, in output tokens.
	promptTokenCost = 0.05
	// recentWindow is the time constant of the decay of a class's recent tokens.
	recentWindow = 5 * time.Second
	// maxAvoidTime is how long a request waits for a chain without the endpoints on
	// which it failed; after that it takes any chain.
	maxAvoidTime = 2 * basePause
	// maxResumedWait is the maximum wait of a request whose caller has already
	// received a part of the response.
	maxResumedWait = 30 * time.Second
)

// cost returns the predicted cost of a request, in output tokens.
func (p *Pool) cost(a Ask) float64 {
	return float64(a.Prompt)*promptTokenCost + p.lengths.predict(a)
}

// prepare initializes the maps of a zero Pool.
func (p *Pool) prepare() {
	if p.classes != nil {
		return
	}
	p.runnerIndex = make(map[identifier.EndpointIncarnation]int)
	p.states = make(map[identifier.EndpointIncarnation]*runnerState)
	p.classes = make(map[classKey]*class)
	p.active = make(map[identifier.Request]*activeRequest)
	p.waiting = make(map[identifier.Request]*waitingRequest)
	p.lengths = newLengths()
	p.extraDelays = make(map[linkKey]float64)
	p.prefixes = prefixer.New()
}

// Configure applies a policy; queues and accounts are kept. Requests of a rank that
// the policy no longer declares continue under the rank's last terms, without its
// guaranteed share.
func (p *Pool) Configure(policy Policy) {
	p.prepare()
	p.policy = policy
	p.updateShares()
	p.updateCapacity()
	for _, c := range p.classOrder {
		rank, ok := policy.Ranks[c.key.rank]
		if !ok {
			rank = withoutShare(c.rank)
		}
		c.configure(rank)
	}
	p.sortClasses()
}

// Ask queues a request or refuses it at once. If the request already holds a chain,
// Ask grants the same chain again, since the entry instance that asks has not
// received the first grant.
func (p *Pool) Ask(now time.Time, a Ask) {
	p.prepare()
	if active, ok := p.active[a.Request]; ok {
		p.grant(a.Request, active.chain)
		return
	}
	if p.tracked(a.Request) {
		return
	}
	c := p.classOf(a)
	p.applyTerms(c, a)
	w := &waitingRequest{
		ask:      a,
		cost:     p.cost(a),
		since:    now,
		deadline: now.Add(p.longestWait(c, a)),
		lateAt:   p.lateTime(now, a),
	}
	if !a.Resumed && !p.admit(now, c, w) {
		return
	}
	p.waiting[a.Request] = w
	c.push(w)
}

// tracked reports whether a request waits or holds a chain.
func (p *Pool) tracked(r identifier.Request) bool {
	_, waiting := p.waiting[r]
	_, active := p.active[r]
	return waiting || active
}

// admit refuses a request that exceeds its customer's queue limit or that is not
// expected to start in time. It reports whether the request may be queued.
func (p *Pool) admit(now time.Time, c *class, w *waitingRequest) bool {
	longest := w.deadline.Sub(w.since)
	limit := c.rank.QueueLimit
	full := c.queueLength(w.ask.Customer) >= limit
	wait := p.estimateWait(now, c, w)
	if wait > longest && !full {
		p.refuse(w.ask.Request, classifier.Overloaded, p.tooLongDetail(wait, longest), p.retryAfter(now, c, w, wait-longest))
		return false
	}
	if full && (wait > longest || !p.makeRoom(now, c, w)) {
		p.refuse(w.ask.Request, classifier.Overloaded, fmt.Sprintf("the customer's queue for this rank is full with %d requests", limit), p.retryAfter(now, c, w, longest))
		return false
	}
	return true
}

// tooLongDetail returns the detail text for a request that could not start in time.
func (p *Pool) tooLongDetail(wait, longest time.Duration) string {
	return fmt.Sprintf("the request could not start in time: a wait of %v is expected behind %d waiting and %d running requests, and at most %v is allowed",
		wait.Round(time.Millisecond), len(p.waiting), len(p.active), longest.Round(time.Millisecond))
}

func (p *Pool) refuse(r identifier.Request, kind classifier.Kind, detail string, after time.Duration) {
	p.decisions = append(p.decisions, Decision{
		Verdict:    Refused,
		Request:    r,
		Kind:       kind,
		Detail:     detail,
		RetryAfter: after,
	})
}

// Cancel removes a request, waiting or active.
func (p *Pool) Cancel(now time.Time, r identifier.Request) {
	p.prepare()
	if w, ok := p.waiting[r]; ok {
		delete(p.waiting, r)
		p.classOf(w.ask).remove(w)
		return
	}
	p.Release(now, r, Outcome{})
}

// Release ends a ticket, frees its chain and corrects the customer's account to the
// tokens that were used.
func (p *Pool) Release(now time.Time, r identifier.Request, o Outcome) {
	p.prepare()
	active, ok := p.active[r]
	if !ok {
		return
	}
	delete(p.active, r)
	if !active.stalled {
		p.removeLoads(active)
	}
	p.recordOutcome(now, active, o)
	active.reading.FirstEvent = o.FirstEvent
	p.prefixes.Observe(active.reading)
	used := float64(active.ask.Prompt)*promptTokenCost + float64(o.Tokens)
	active.class.charge(active.ask.Customer, active.ask.Weight, used-active.cost)
	active.class.addRecent(now, used-active.cost)
	if o.Tokens > 0 && o.Failed.Endpoint == "" && !active.revoked {
		p.lengths.record(active.ask, o.Tokens)
		if active.ask.Promise != nil && active.fromQueue {
			p.pace.observe(active.ask, o.Tokens, now.Sub(active.since))
		}
	}
	p.observeGap(active, o)
}

// Adopt records a ticket in use: one that another owner granted, or one whose request had
// stalled and goes on.
func (p *Pool) Adopt(now time.Time, t ActiveTicket) {
	p.prepare()
	if active, ok := p.active[t.Request]; ok {
		p.unstall(active)
	}
	if p.tracked(t.Request) {
		return
	}
	c := p.classOf(t.Ask)
	p.start(now, c, &waitingRequest{
		ask:  t.Ask,
		cost: p.cost(t.Ask),
	}, t.Chain)
}

// Decide grants chains to the requests that can start now and returns all decisions
// since the last call.
func (p *Pool) Decide(now time.Time) []Decision {
	p.prepare()
	if len(p.waiting) > 0 {
		p.expire(now)
		p.grantWaiting(now)
	}
	out := p.decisions
	p.decisions = nil
	return out
}

// grantWaiting grants chains to the waiting requests that can start now, and revokes
// chains for the others as far as their class may.
func (p *Pool) grantWaiting(now time.Time) {
	p.updateLoads(now)
	p.unplaceable = unlimitedTokens
	blocked := make(map[*class]bool)
	for {
		c := p.nextClass(now, blocked)
		if c == nil {
			return
		}
		granted, held := p.grantFrom(now, c)
		if held {
			p.blockAfter(c, blocked)
		}
		if !granted {
			blocked[c] = true
			p.preempt(now, c)
			if p.saturated() {
				return
			}
		}
	}
}

// blockAfter blocks the classes that come after c.
func (p *Pool) blockAfter(c *class, blocked map[*class]bool) {
	for _, other := range p.classOrder {
		if c.before(other) {
			blocked[other] = true
		}
	}
}

// grantFrom starts one request of c: of the first waiting request of each customer,
// in order of the customers' service, the first that finds a chain. It reports
// whether one started, or else whether one is held back. Those that can't be on time come after
// the others.
func (p *Pool) grantFrom(now time.Time, c *class) (granted, held bool) {
	for {
		granted, held, marked := p.grantHead(now, c)
		if granted || held || !marked {
			return granted, held
		}
		// The requests that were marked as late now come after others, which may start.
	}
}

// grantHead is grantFrom for the requests that are first now. It also reports whether it has
// marked one as late that no chain can serve on time.
func (p *Pool) grantHead(now time.Time, c *class) (granted, held, marked bool) {
	heads := c.queueHeads()
	for _, w := range heads {
		if now.Sub(w.since) > maxAvoidTime {
			w.ask.Avoid = nil
		}
		chain := p.planWaiting(w.ask)
		if chain == nil || p.tooSlow(now, c, w, chain) {
			continue
		}
		if p.startsLate(now, w, chain) {
			c.markLate(w)
			marked = true
			continue
		}
		if p.heldBack(now, heads, w) {
			return false, true, marked
		}
		c.remove(w)
		delete(p.waiting, w.ask.Request)
		p.start(now, c, w, chain)
		p.grant(w.ask.Request, chain)
		return true, false, marked
	}
	return false, false, marked
}

func (p *Pool) grant(r identifier.Request, chain []identifier.Stage) {
	p.decisions = append(p.decisions, Decision{
		Verdict: Granted,
		Request: r,
		Chain:   chain,
	})
}

// tooSlow reports whether chain is too slow for a request that can still wait for a
// faster one.
func (p *Pool) tooSlow(now time.Time, c *class, w *waitingRequest, chain []identifier.Stage) bool {
	t := c.targetsOf(w.ask)
	if c.rank.Order > p.mostUrgentOrder(now) || w.ask.Resumed || w.late || p.meetsInterval(t.betweenTokens, chain) {
		return false
	}
	wait := t.fasterChainWait
	if !w.lateAt.IsZero() {
		// The slow chain must still serve the request on time if no other becomes free.
		wait = min(wait, scale(w.lateAt.Sub(w.since), targetWaitFraction))
	}
	return now.Sub(w.since) < wait
}

func (p *Pool) start(now time.Time, c *class, w *waitingRequest, chain []identifier.Stage) {
	c.charge(w.ask.Customer, w.ask.Weight, w.cost)
	c.addRecent(now, w.cost)
	need := p.need(w.ask, "")
	active := &activeRequest{
		ask:            w.ask,
		class:          c,
		chain:          chain,
		cost:           w.cost,
		reservedTokens: need.Tokens(),
		since:          now,
		fromQueue:      !w.since.IsZero() && w.ask.Repairs == "",
	}
	p.active[w.ask.Request] = active
	if w.ask.Repairs == "" {
		p.takePace(now, chain[0].EndpointIncarnation)
	}
	if active.fromQueue {
		active.reading = p.predictReading(now, w.ask, chain)
		p.prefixes.Count(prefixOf(w.ask))
	}
	for _, s := range chain {
		p.addStage(now, active, s)
	}
}

// expire refuses the requests whose deadline has passed, and moves those that can no longer
// be on time behind the others.
func (p *Pool) expire(now time.Time) {
	for _, c := range p.classOrder {
		for _, w := range c.removeExpired(now) {
			delete(p.waiting, w.ask.Request)
			kind, detail := classifier.Overloaded, fmt.Sprintf("the request waited longer than its limit of %v", w.deadline.Sub(w.since).Round(time.Millisecond))
			if !p.Covered() {
				kind, detail = classifier.NoChain, "no chain of endpoints covers every layer"
			}
			p.refuse(w.ask.Request, kind, detail, p.retryAfter(now, c, w, time.Second))
		}
		c.updateLate(now)
	}
}

// Waiting returns the number of requests that wait for a chain.
func (p *Pool) Waiting() int {
	return len(p.waiting)
}

// Active returns the number of requests that hold a chain.
func (p *Pool) Active() int {
	return len(p.active)
}

// Uses reports whether an active request runs on an endpoint incarnation.
func (p *Pool) Uses(incarnation identifier.EndpointIncarnation) bool {
	s, ok := p.states[incarnation]
	return ok && s.load.streams > 0
}

// Holds reports whether a request holds a chain.
func (p *Pool) Holds(r identifier.Request) bool {
	_, ok := p.active[r]
	return ok
}
