// Package scheduler decides, for one pool, which request runs next, on which
// chain, and which is refused. It is pure: the caller gives the time and
// carries the decisions out.
//
// Order of work. A class is one tier of one rank. A class that has had less
// than its guaranteed share of the recent tokens goes first; then paying work
// before free-tier work, and urgent ranks before others. Inside a class the
// customer that has had the least service for its weight goes first, counted in
// tokens: predicted when the request starts and corrected when it ends.
package scheduler

import (
	"fmt"
	"math"
	"time"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
)

// Policy is what is declared for a pool.
type Policy struct {
	Layers identifier.Layer
	// Partial allows chains to use a part of the layers that an endpoint holds.
	Partial bool
	Version identifier.Version
	Ranks   map[identifier.Rank]declarer.Rank
	Links   planner.Links
}

// Pool schedules the work of one service. Its zero value waits for a policy.
type Pool struct {
	policy Policy

	runners []planner.Runner
	foreign map[identifier.Life]int
	// loads is what the pool's own tickets take of endpoints.
	loads  map[identifier.Life]load
	failed map[identifier.Life]failure
	// reading is until when each endpoint reads the prompts that it was given.
	reading   map[identifier.Life]time.Time
	classes   map[classKey]*class
	order     []*class
	flights   map[identifier.Request]*flight
	waiting   map[identifier.Request]*entry
	lengths   map[lengthKey]float64
	prefixes  *prefixIndex
	decided   []Decision
	slowdowns map[linkKey]float64
}

type lengthKey struct {
	customer identifier.Customer
	rank     identifier.Rank
}

// entry is a request that waits.
type entry struct {
	ask      Ask
	cost     float64
	since    time.Time
	deadline time.Time
}

// flight is a request that holds a chain.
type flight struct {
	ask   Ask
	class *class
	chain []identifier.Stage
	// parts has, for each stage, the part of its endpoint's layers that it uses.
	parts   []float64
	cost    float64
	tokens  identifier.Tokens
	since   time.Time
	revoked bool
}

// Bounds and weights of the policy.
const (
	// promptWeight is the cost of a prompt token in output tokens.
	promptWeight = 0.05
	// defaultLength predicts an answer's tokens before any was seen.
	defaultLength = 64.0
	// lengthGain is how fast predictions follow.
	lengthGain = 0.2
	// recentWindow is how long a token counts towards a class's recent share.
	recentWindow = 5 * time.Second
	// avoidFor is how long a request waits for a chain without the endpoints
	// that failed it; then any chain will do.
	avoidFor = 2 * failedPause
	// resumedWait is how long a request that holds a part of its answer waits.
	resumedWait = 30 * time.Second
)

// cost predicts what a request takes, in output tokens.
func (p *Pool) cost(a Ask) float64 {
	return float64(a.Prompt)*promptWeight + p.predict(a)
}

func (p *Pool) predict(a Ask) float64 {
	n, ok := p.lengths[lengthKey{
		customer: a.Customer,
		rank:     a.Rank,
	}]
	if !ok {
		n = defaultLength
	}
	return math.Min(n, float64(a.Output))
}

func (p *Pool) learn(a Ask, tokens identifier.Tokens) {
	key := lengthKey{
		customer: a.Customer,
		rank:     a.Rank,
	}
	old, ok := p.lengths[key]
	if !ok {
		old = defaultLength
	}
	p.lengths[key] = old + lengthGain*(float64(tokens)-old)
}

// prepare makes the zero value usable.
func (p *Pool) prepare() {
	if p.classes != nil {
		return
	}
	p.foreign = make(map[identifier.Life]int)
	p.loads = make(map[identifier.Life]load)
	p.failed = make(map[identifier.Life]failure)
	p.reading = make(map[identifier.Life]time.Time)
	p.classes = make(map[classKey]*class)
	p.flights = make(map[identifier.Request]*flight)
	p.waiting = make(map[identifier.Request]*entry)
	p.lengths = make(map[lengthKey]float64)
	p.slowdowns = make(map[linkKey]float64)
	p.prefixes = newPrefixIndex()
}

// Configure puts a policy in force; queues and accounts stay. What is under way
// in a rank that was dropped goes on under its last terms, but for its share.
func (p *Pool) Configure(policy Policy) {
	p.prepare()
	p.policy = policy
	for _, c := range p.order {
		rank, ok := policy.Ranks[c.key.rank]
		if !ok {
			rank = withoutShare(c.rank)
		}
		c.configure(rank)
	}
	p.sortClasses()
}

// Ask queues a request or refuses it at once. One that holds a chain is told of it
// again: the entry that asks has not heard of it.
func (p *Pool) Ask(now time.Time, a Ask) {
	p.prepare()
	if f, ok := p.flights[a.Request]; ok {
		p.grant(a.Request, f.chain)
		return
	}
	if p.known(a.Request) {
		return
	}
	c := p.classOf(a)
	p.learnTerms(c, a)
	rank := c.rank
	e := &entry{
		ask:      a,
		cost:     p.cost(a),
		since:    now,
		deadline: now.Add(rank.MaxWait.Std()),
	}
	if a.Resumed {
		e.deadline = now.Add(resumedWait)
	}
	if !a.Resumed && !p.admit(now, c, e, rank) {
		return
	}
	p.waiting[a.Request] = e
	c.push(e)
}

func (p *Pool) known(r identifier.Request) bool {
	_, waits := p.waiting[r]
	_, flies := p.flights[r]
	return waits || flies
}

// admit refuses what is over its customer's queue limit or can't start in time.
func (p *Pool) admit(now time.Time, c *class, e *entry, rank declarer.Rank) bool {
	if c.length(e.ask.Customer) >= rank.QueueLimit {
		p.refuse(e.ask.Request, classifier.Overloaded, fmt.Sprintf("the customer's queue for this rank is full with %d requests", rank.QueueLimit), rank.MaxWait.Std())
		return false
	}
	wait := p.estimate(now, c, e)
	if wait > rank.MaxWait.Std() {
		p.refuse(e.ask.Request, classifier.Overloaded, p.tooLong(wait, rank), wait-rank.MaxWait.Std())
		return false
	}
	return true
}

// tooLong says why a request could not start in time.
func (p *Pool) tooLong(wait time.Duration, rank declarer.Rank) string {
	return fmt.Sprintf("the request could not start in time: a wait of %v is expected behind %d waiting and %d running requests, and at most %v is allowed",
		wait.Round(time.Millisecond), len(p.waiting), len(p.flights), rank.MaxWait.Std())
}

func (p *Pool) refuse(r identifier.Request, kind classifier.Kind, detail string, after time.Duration) {
	p.decided = append(p.decided, Decision{
		Verdict:    Refused,
		Request:    r,
		Kind:       kind,
		Detail:     detail,
		RetryAfter: after,
	})
}

// Cancel takes a request out, waiting or running.
func (p *Pool) Cancel(now time.Time, r identifier.Request) {
	p.prepare()
	if e, ok := p.waiting[r]; ok {
		delete(p.waiting, r)
		p.classOf(e.ask).remove(e)
		return
	}
	p.Release(now, r, Outcome{})
}

// Release takes a ticket back and corrects the customer's account.
func (p *Pool) Release(now time.Time, r identifier.Request, o Outcome) {
	p.prepare()
	f, ok := p.flights[r]
	if !ok {
		return
	}
	delete(p.flights, r)
	for i, s := range f.chain {
		p.unload(s.Life, f.parts[i], f.tokens)
	}
	p.judge(now, f, o)
	used := float64(f.ask.Prompt)*promptWeight + float64(o.Tokens)
	f.class.charge(f.ask.Customer, f.ask.Weight, used-f.cost)
	f.class.add(now, used-f.cost)
	if o.Tokens > 0 && o.Failed.Endpoint == "" && !f.revoked {
		p.learn(f.ask, o.Tokens)
	}
	p.observe(f, o)
}

// Adopt takes over a ticket that another owner granted.
func (p *Pool) Adopt(now time.Time, h Held) {
	p.prepare()
	if p.known(h.Request) {
		return
	}
	c := p.classOf(h.Ask)
	p.start(now, c, &entry{
		ask:  h.Ask,
		cost: p.cost(h.Ask),
	}, h.Chain)
}

// Decide grants what can start now and returns all decisions since the last call.
func (p *Pool) Decide(now time.Time) []Decision {
	p.prepare()
	p.expire(now)
	p.effective(now)
	blocked := make(map[*class]bool)
	for {
		c := p.next(now, blocked)
		if c == nil {
			break
		}
		if !p.grantFrom(now, c) {
			blocked[c] = true
			p.preempt(now, c)
			if p.full() {
				break
			}
		}
	}
	out := p.decided
	p.decided = nil
	return out
}

// grantFrom starts the first request of c, in fair order, that finds a chain.
func (p *Pool) grantFrom(now time.Time, c *class) bool {
	for _, e := range c.heads() {
		if now.Sub(e.since) > avoidFor {
			e.ask.Avoid = nil
		}
		chain := p.plan(e.ask)
		if chain == nil || p.tooSlow(now, c, e, chain) {
			continue
		}
		c.remove(e)
		delete(p.waiting, e.ask.Request)
		p.start(now, c, e, chain)
		p.grant(e.ask.Request, chain)
		return true
	}
	return false
}

func (p *Pool) grant(r identifier.Request, chain []identifier.Stage) {
	p.decided = append(p.decided, Decision{
		Verdict: Granted,
		Request: r,
		Chain:   chain,
	})
}

// patientPart is the part of its longest wait for which a request of the most
// urgent work waits for a chain that meets its target, where a slow one is free.
const patientPart = 0.5

// tooSlow reports whether a request had better wait for a faster chain.
func (p *Pool) tooSlow(now time.Time, c *class, e *entry, chain []identifier.Stage) bool {
	if c.rank.Order > p.mostUrgent() || e.ask.Resumed || p.meets(c, chain) {
		return false
	}
	patience := time.Duration(patientPart * float64(c.rank.MaxWait.Std()))
	return now.Sub(e.since) < patience
}

func (p *Pool) start(now time.Time, c *class, e *entry, chain []identifier.Stage) {
	c.charge(e.ask.Customer, e.ask.Weight, e.cost)
	c.add(now, e.cost)
	need := p.need(e.ask, "")
	f := &flight{
		ask:    e.ask,
		class:  c,
		chain:  chain,
		cost:   e.cost,
		tokens: need.Tokens(),
		since:  now,
	}
	p.flights[e.ask.Request] = f
	for _, s := range chain {
		part := p.part(s)
		f.parts = append(f.parts, part)
		p.load(s.Life, part, f.tokens)
		p.bump(now, s, part, f)
		p.prefixes.note(e.ask.Prefix, s.Life, e.ask.Prompt)
	}
}

// expire refuses what waited past its deadline.
func (p *Pool) expire(now time.Time) {
	for _, c := range p.order {
		for _, e := range c.expired(now) {
			delete(p.waiting, e.ask.Request)
			kind, detail := classifier.Overloaded, fmt.Sprintf("the request waited past its limit of %v", c.rank.MaxWait.Std())
			if !p.covered() {
				kind, detail = classifier.NoChain, "no chain of endpoints covers every layer"
			}
			p.refuse(e.ask.Request, kind, detail, time.Second)
		}
	}
}

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int {
	return len(p.waiting)
}

// Flights returns how many requests hold a chain.
func (p *Pool) Flights() int {
	return len(p.flights)
}

// Uses reports whether a request in flight runs on a life.
func (p *Pool) Uses(l identifier.Life) bool {
	return p.loads[l].streams > 0
}

// Holds reports whether a request holds a chain.
func (p *Pool) Holds(r identifier.Request) bool {
	_, ok := p.flights[r]
	return ok
}
