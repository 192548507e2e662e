// Package granter implements the pool owner: it receives the ticket requests
// (asks) of the entries, which are the instances that received the callers'
// requests, lets the scheduler decide and sends the decisions back. All its state
// is accessed on the control loop only, and all of it is soft state: a new owner
// rebuilds it from the tickets that the entries report as in use.
package granter

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/batcher"
	"heatherhold.dev/router/budgeter"
	"heatherhold.dev/router/driver"
	"heatherhold.dev/router/estimator"
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/scheduler"
)

// decideInterval is how often waiting requests are considered when no message or
// endpoint state arrives.
const decideInterval = 10 * time.Millisecond

// minDecideInterval is the shortest time between two rounds of decisions of one pool.
// While messages arrive faster, one round decides on all that have arrived, so that
// an owner under load does not search a full pool anew for each message.
const minDecideInterval = 2 * time.Millisecond

// Key identifies a pool. An entry that cannot reach the owner schedules alone, in
// a pool of its own with a share of the endpoints' slots.
type Key struct {
	Service    identifier.Service
	Standalone bool
}

// Granter owns pools. Make it with New and set the exported fields before Run.
type Granter struct {
	Loop      *executor.Loop
	Engine    driver.Engine
	Publisher *publisher.Publisher
	Log       logrus.FieldLogger
	// Lease is how long a remote entry's stream may be without a message, and how long
	// tickets stay reserved after the end of the stream that holds them.
	Lease time.Duration
	// OnRound, if it is set, is called on the control loop after each round of decisions
	// of a pool, with the time that it took and the number of requests that wait.
	OnRound func(s identifier.Service, d time.Duration, waiting int)
	// Retries are the limits of the retry budget that the entries of a pool share.
	Retries budgeter.Limits
	// OnRetry, if it is set, is called on the control loop for each retry that an entry
	// wanted out of a shared budget.
	OnRetry func(s identifier.Service, granted bool)
	// MarkLeaving is called on the control loop when an endpoint reports that it is
	// leaving.
	MarkLeaving func(identifier.EndpointIncarnation)
	// LearnDepartures, if it is set, is called on the control loop with the endpoints that an
	// entry knows to have left the list.
	LearnDepartures func(from identifier.Instance, departures []cataloguer.Departure)
	// Estimate, if it is set, returns the capacities of the endpoints of a view. It
	// replaces polling each endpoint for its state.
	Estimate func(v *publisher.View, k Key) []scheduler.Report
	// OnUnknown, if it is set, is called on the control loop with the number of requests on
	// which the instance could not decide.
	OnUnknown func(s identifier.Service, n int)
	// ListAge, if it is set, returns the age of the list of endpoints, for log lines.
	ListAge func() time.Duration

	pools     map[Key]*pool
	poolAdded chan struct{}
	// unknownLoggedAt is when it was last logged that a pool can't be decided on.
	unknownLoggedAt map[Key]time.Time
}

// New returns a granter whose state is accessed on loop.
func New(loop *executor.Loop) *Granter {
	return &Granter{
		Loop:            loop,
		pools:           make(map[Key]*pool),
		poolAdded:       make(chan struct{}, 1),
		unknownLoggedAt: make(map[Key]time.Time),
	}
}

// pool is one scheduled pool and its sessions with entries.
type pool struct {
	key              Key
	scheduler        *scheduler.Pool
	view             *publisher.View
	sessionByRequest map[identifier.Request]*Session
	// expiries is when the tickets of closed sessions expire.
	expiries map[identifier.Request]time.Time
	sessions map[*Session]bool
	states   map[identifier.EndpointIncarnation]endpointState
	// budget is the retry budget that the entries share, and paid has the requests, waiting
	// or with a ticket, for whose retries it was charged.
	budget *budgeter.Budget
	paid   map[identifier.Request]bool
	// decidedAt is when the last round of decisions was made.
	decidedAt time.Time
	// runnersSet is set once the scheduler knows the endpoints; no decision is made
	// before.
	runnersSet bool
	// keepsNothing is set while the engines are taken to keep no beginnings of prompts.
	keepsNothing bool
}

// Session is one open stream of an entry, local or remote, to a pool.
type Session struct {
	pool *pool
	// entry is the instance at the other end, as its first message names it.
	entry identifier.Instance
	// list is the position of the entry's list of endpoints when it last sent asks; zero if it
	// stated none.
	list identifier.Position
	out  *batcher.Batch[*messenger.FromOwner]
}

// Run makes scheduling decisions and polls endpoints until ctx ends.
func (g *Granter) Run(ctx context.Context) error {
	decide := time.NewTicker(decideInterval)
	defer decide.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	if g.Estimate != nil {
		poll.Stop()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-decide.C:
			g.Loop.Post(func() { g.decideAll(time.Now()) })
		case <-g.poolAdded:
			if g.Estimate == nil {
				g.poll(ctx)
			}
		case <-poll.C:
			g.poll(ctx)
		}
	}
}

// openSession opens a session on a pool. It runs on the control loop.
func (g *Granter) openSession(key Key) *Session {
	p := g.pool(key)
	session := &Session{
		pool: p,
		out:  batcher.New[*messenger.FromOwner](),
	}
	p.sessions[session] = true
	return session
}

func (g *Granter) pool(key Key) *pool {
	if p, ok := g.pools[key]; ok {
		return p
	}
	p := &pool{
		key:              key,
		scheduler:        &scheduler.Pool{Random: rand.Float64},
		sessionByRequest: make(map[identifier.Request]*Session),
		expiries:         make(map[identifier.Request]time.Time),
		sessions:         make(map[*Session]bool),
		states:           make(map[identifier.EndpointIncarnation]endpointState),
		budget:           &budgeter.Budget{},
		paid:             make(map[identifier.Request]bool),
	}
	if !key.Standalone {
		p.budget.Limits = g.Retries
	}
	g.pools[key] = p
	g.refresh(p)
	select {
	case g.poolAdded <- struct{}{}:
	default:
	}
	return p
}

// refresh applies the publisher's view to the scheduler if it has changed since the
// last call.
func (g *Granter) refresh(p *pool) {
	v := g.Publisher.View()
	if p.view == v || v.Declaration == nil {
		return
	}
	p.view = v
	p.scheduler.Configure(g.policyOf(v, p.key))
	if g.Estimate != nil {
		p.scheduler.SetRunners(sortReports(g.Estimate(v, p.key)))
		p.runnersSet = true
	}
}

// revision returns the revision of the configuration that the pool is scheduled
// by; 0 if there is none yet.
func (p *pool) revision() identifier.Revision {
	if p.view == nil {
		return 0
	}
	return p.view.Revision
}

// linksOf returns the links between the data centres of a pool's endpoints.
func linksOf(v *publisher.View, s identifier.Service) planner.Links {
	if v.Site == nil || v.Site.Services[s].Engine == nil {
		return v
	}
	return estimator.Links{Engine: v.Site.Services[s].Engine}
}

// handleMessage processes an entry's message. It runs on the control loop.
func (g *Granter) handleMessage(now time.Time, session *Session, m *messenger.ToOwner) {
	p := session.pool
	if !p.sessions[session] {
		// The stream was closed before the message was handled: nobody would receive
		// what is granted.
		return
	}
	g.learnDepartures(now, session, m)
	g.logChangedPromises(session, m)
	g.refresh(p)
	for _, l := range m.GetLimits() {
		if err := p.setLimit(now, l, g.Publisher.View().Instances()); err != nil {
			g.Log.WithError(err).WithField("endpoint", l.GetEndpoint().GetEndpoint()).Warn("limit reported by an instance set aside")
		}
	}
	withoutChain := 0
	for _, h := range m.GetHeld() {
		if len(h.GetChain()) == 0 {
			withoutChain++
			continue
		}
		ticket := activeTicketOf(h)
		p.sessionByRequest[ticket.Request] = session
		delete(p.expiries, ticket.Request)
		p.scheduler.Adopt(now, ticket)
		if failed := h.GetFailed(); failed != nil {
			p.scheduler.Stall(now, ticket.Request, incarnationOf(failed))
		}
	}
	if withoutChain > 0 {
		g.Log.WithField("peer", session.entry).WithField("tickets", withoutChain).Warn("tickets without a chain reported by an instance set aside")
	}
	for _, r := range m.GetReleases() {
		if r.GetRetryUnused() {
			p.returnRetry(now, identifier.Request(r.GetRequest()))
		}
		p.dropRequest(identifier.Request(r.GetRequest()))
		p.scheduler.Release(now, identifier.Request(r.GetRequest()), outcomeOf(r))
	}
	for _, r := range m.GetCancels() {
		p.returnRetry(now, identifier.Request(r))
		p.dropRequest(identifier.Request(r))
		p.scheduler.Cancel(now, identifier.Request(r))
	}
	for _, a := range m.GetAsks() {
		if !g.admitRetry(now, session, a) {
			continue
		}
		ask := askOf(a)
		p.sessionByRequest[ask.Request] = session
		delete(p.expiries, ask.Request)
		p.scheduler.Ask(now, ask)
	}
	if len(m.GetAsks()) > 0 {
		session.list = m.GetList().Position()
	}
	g.answerUnknown(now, session, m.GetAsks())
	if now.Sub(p.decidedAt) >= minDecideInterval {
		g.decide(now, p)
	}
}

// learnDepartures passes on which endpoints an entry knows to have left the list.
func (g *Granter) learnDepartures(now time.Time, session *Session, m *messenger.ToOwner) {
	if m.GetInstance() != "" {
		session.entry = identifier.Instance(m.GetInstance())
	}
	if len(m.GetDepartures()) == 0 || g.LearnDepartures == nil {
		return
	}
	departures, err := messenger.ReadDepartures(now, m.GetDepartures())
	if err != nil {
		g.Log.WithError(err).WithField("peer", session.entry).Warn("departures reported by an instance set aside")
		return
	}
	g.LearnDepartures(session.entry, departures)
}

// setLimit applies an endpoint's limit. A pool that an entry schedules alone gets the
// share of one of n instances.
func (p *pool) setLimit(now time.Time, l *messenger.EndpointLimit, n int) error {
	perSecond := l.GetPerSecond()
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return errors.Errorf("want a number of 0 or more, got %v", perSecond)
	}
	if p.key.Standalone {
		perSecond /= float64(n)
	}
	p.scheduler.SetLimit(now, incarnationOf(l.GetEndpoint()), perSecond)
	return nil
}

func (p *pool) dropRequest(r identifier.Request) {
	delete(p.sessionByRequest, r)
	delete(p.expiries, r)
	delete(p.paid, r)
}

// closeSession closes a session: waiting requests are cancelled, and tickets in use
// stay reserved for the lease, in case the entry reconnects.
func (g *Granter) closeSession(now time.Time, session *Session) {
	p := session.pool
	delete(p.sessions, session)
	for r, requester := range p.sessionByRequest {
		if requester != session {
			continue
		}
		delete(p.sessionByRequest, r)
		if p.scheduler.Holds(r) {
			p.expiries[r] = now.Add(g.Lease)
			continue
		}
		p.returnRetry(now, r)
		p.scheduler.Cancel(now, r)
	}
	if len(p.sessions) == 0 && len(p.expiries) == 0 {
		delete(g.pools, p.key)
	}
}

func (g *Granter) decideAll(now time.Time) {
	for key, p := range g.pools {
		for r, expiry := range p.expiries {
			if now.After(expiry) {
				p.dropRequest(r)
				p.scheduler.Release(now, r, scheduler.Outcome{})
			}
		}
		g.decide(now, p)
		if len(p.sessions) == 0 && len(p.expiries) == 0 {
			delete(g.pools, key)
		}
	}
}

func (g *Granter) decide(now time.Time, p *pool) {
	g.refresh(p)
	if !p.runnersSet {
		return
	}
	p.decidedAt = now
	if g.OnRound != nil {
		start := time.Now()
		defer func() { g.OnRound(p.key.Service, time.Since(start), p.scheduler.Waiting()) }()
	}
	batches := make(map[*Session]*messenger.FromOwner)
	for _, d := range p.scheduler.Decide(now) {
		session, ok := p.sessionByRequest[d.Request]
		if !ok {
			continue
		}
		m, ok := batches[session]
		if !ok {
			m = &messenger.FromOwner{List: messenger.PositionOf(g.Publisher.List())}
			batches[session] = m
		}
		if g.refusesUninformed(session, d) {
			m.Unknown = append(m.Unknown, string(d.Request))
			g.recordUnknown(now, session, 1)
			p.dropRequest(d.Request)
			continue
		}
		addDecision(m, d, p.revision())
		if d.Verdict == scheduler.Granted && p.paid[d.Request] {
			m.Grants[len(m.Grants)-1].Retry = true
		}
		if d.Verdict == scheduler.Refused {
			p.returnRetry(now, d.Request)
			p.dropRequest(d.Request)
		}
	}
	for session, m := range batches {
		session.out.Add(m)
	}
	g.logKeeping(p)
}

// logKeeping logs when the engines of a pool are found to keep no beginnings of prompts, or to
// keep them again.
func (g *Granter) logKeeping(p *pool) {
	keeps := p.scheduler.KeepsBeginnings()
	if keeps != p.keepsNothing {
		return
	}
	p.keepsNothing = !keeps
	g.Log.WithField("service", p.key.Service).WithField("keeps", keeps).Info("keeping of prompt beginnings learnt")
}

// Loads returns the number of waiting and running requests in each owned pool.
func (g *Granter) Loads(ctx context.Context) (map[Key]Load, error) {
	return executor.Get(ctx, g.Loop, func() map[Key]Load {
		loads := make(map[Key]Load)
		for key, p := range g.pools {
			loads[key] = Load{
				Waiting: p.scheduler.Waiting(),
				Running: p.scheduler.Active(),
			}
		}
		return loads
	})
}

// Failed returns the listed endpoints of a service that broke a stream and have delivered
// none since; none if this instance doesn't own the service's pool.
func (g *Granter) Failed(ctx context.Context, s identifier.Service) (map[identifier.EndpointIncarnation]bool, error) {
	return executor.Get(ctx, g.Loop, func() map[identifier.EndpointIncarnation]bool {
		p, ok := g.pools[Key{Service: s}]
		if !ok {
			return nil
		}
		return p.scheduler.Failed()
	})
}

// Load is the number of a pool's requests at one moment.
type Load struct {
	Waiting int `json:"waiting"`
	Running int `json:"running"`
}
