// Package granter is the pool owner: it takes the entries' asks, lets the
// scheduler decide and sends the decisions back. All its state belongs to the
// control loop, and all of it is soft: a new owner rebuilds it from what the
// entries report in flight.
package granter

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/batcher"
	"heatherhold.dev/router/driver"
	"heatherhold.dev/router/estimator"
	"heatherhold.dev/router/looper"
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/scheduler"
)

// decideInterval is how often waiting requests are looked at without news.
const decideInterval = 10 * time.Millisecond

// Key names a pool. An entry that can reach no owner schedules alone, in a pool
// of its own with a share of the endpoints' slots.
type Key struct {
	Service identifier.Service
	Alone   bool
}

// Granter owns pools. Make it with New and set the exported fields before Run.
type Granter struct {
	Loop     *looper.Loop
	Engine   driver.Engine
	Observer *observer.Observer
	Log      logrus.FieldLogger
	// Lease is how long tickets outlive the conversation that holds them.
	Lease time.Duration
	// Leaving is called on the control loop when an endpoint says that it leaves.
	Leaving func(identifier.Life)
	// Estimate, if it is set, tells what the endpoints of a view can do, in place
	// of asking each endpoint for its state.
	Estimate func(v *observer.View, k Key) []scheduler.Report

	pools map[Key]*pool
	fresh chan struct{}
}

// New returns a granter that works on loop.
func New(loop *looper.Loop) *Granter {
	return &Granter{
		Loop:  loop,
		pools: make(map[Key]*pool),
		fresh: make(chan struct{}, 1),
	}
}

// pool is one scheduled pool and the conversations about it.
type pool struct {
	key       Key
	scheduler *scheduler.Pool
	view      *observer.View
	askers    map[identifier.Request]*Talk
	orphans   map[identifier.Request]time.Time
	talks     map[*Talk]bool
	known     map[identifier.Life]known
	polled    bool
}

// Talk is the owner's end of one entry's conversation.
type Talk struct {
	pool *pool
	out  *batcher.Batch[*messenger.FromOwner]
}

// Run decides and polls endpoints until ctx ends.
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
		case <-g.fresh:
			if g.Estimate == nil {
				g.poll(ctx)
			}
		case <-poll.C:
			g.poll(ctx)
		}
	}
}

// begin opens a conversation about a pool. It runs on the control loop.
func (g *Granter) begin(key Key) *Talk {
	p := g.pool(key)
	t := &Talk{
		pool: p,
		out:  batcher.New[*messenger.FromOwner](),
	}
	p.talks[t] = true
	return t
}

func (g *Granter) pool(key Key) *pool {
	if p, ok := g.pools[key]; ok {
		return p
	}
	p := &pool{
		key:       key,
		scheduler: &scheduler.Pool{},
		askers:    make(map[identifier.Request]*Talk),
		orphans:   make(map[identifier.Request]time.Time),
		talks:     make(map[*Talk]bool),
		known:     make(map[identifier.Life]known),
	}
	g.pools[key] = p
	g.refresh(p)
	select {
	case g.fresh <- struct{}{}:
	default:
	}
	return p
}

// refresh takes what was published since the last time into the scheduler.
func (g *Granter) refresh(p *pool) {
	v := g.Observer.View()
	if p.view == v || v.Declaration == nil {
		return
	}
	p.view = v
	s := v.Declaration.Service[p.key.Service]
	p.scheduler.Configure(scheduler.Policy{
		Layers:  s.Layers,
		Partial: g.Estimate != nil,
		Version: s.Version,
		Ranks:   v.Declaration.Rank,
		Links:   linksOf(v, p.key.Service),
	})
	if g.Estimate != nil {
		p.scheduler.SetRunners(sorted(g.Estimate(v, p.key)))
		p.polled = true
	}
}

// revision returns the configuration that the pool is scheduled by; 0 if there
// is none yet.
func (p *pool) revision() identifier.Revision {
	if p.view == nil {
		return 0
	}
	return p.view.Revision
}

// linksOf returns the links that a pool's chains cross.
func linksOf(v *observer.View, s identifier.Service) planner.Links {
	if v.Site == nil || v.Site.Services[s].Engine == nil {
		return v
	}
	return estimator.Links{Engine: v.Site.Services[s].Engine}
}

// hear takes in an entry's message. It runs on the control loop.
func (g *Granter) hear(now time.Time, t *Talk, m *messenger.ToOwner) {
	p := t.pool
	g.refresh(p)
	for _, h := range m.GetHeld() {
		held := heldOf(h)
		p.askers[held.Request] = t
		delete(p.orphans, held.Request)
		p.scheduler.Adopt(now, held)
	}
	for _, r := range m.GetReleases() {
		p.forget(identifier.Request(r.GetRequest()))
		p.scheduler.Release(now, identifier.Request(r.GetRequest()), outcomeOf(r))
	}
	for _, r := range m.GetCancels() {
		p.forget(identifier.Request(r))
		p.scheduler.Cancel(now, identifier.Request(r))
	}
	for _, a := range m.GetAsks() {
		ask := askOf(a)
		p.askers[ask.Request] = t
		delete(p.orphans, ask.Request)
		p.scheduler.Ask(now, ask)
	}
	g.decide(now, p)
}

func (p *pool) forget(r identifier.Request) {
	delete(p.askers, r)
	delete(p.orphans, r)
}

// end closes a conversation: what waited is cancelled, and tickets in use stay
// reserved for the lease, in case the entry comes back.
func (g *Granter) end(now time.Time, t *Talk) {
	p := t.pool
	delete(p.talks, t)
	for r, asker := range p.askers {
		if asker != t {
			continue
		}
		delete(p.askers, r)
		if p.scheduler.Holds(r) {
			p.orphans[r] = now.Add(g.Lease)
			continue
		}
		p.scheduler.Cancel(now, r)
	}
	if len(p.talks) == 0 && len(p.orphans) == 0 {
		delete(g.pools, p.key)
	}
}

func (g *Granter) decideAll(now time.Time) {
	for key, p := range g.pools {
		for r, until := range p.orphans {
			if now.After(until) {
				p.forget(r)
				p.scheduler.Release(now, r, scheduler.Outcome{})
			}
		}
		g.decide(now, p)
		if len(p.talks) == 0 && len(p.orphans) == 0 {
			delete(g.pools, key)
		}
	}
}

func (g *Granter) decide(now time.Time, p *pool) {
	g.refresh(p)
	if !p.polled {
		return
	}
	batches := make(map[*Talk]*messenger.FromOwner)
	for _, d := range p.scheduler.Decide(now) {
		t, ok := p.askers[d.Request]
		if !ok {
			continue
		}
		m, ok := batches[t]
		if !ok {
			m = &messenger.FromOwner{}
			batches[t] = m
		}
		add(m, d, p.revision())
		if d.Verdict == scheduler.Refused {
			p.forget(d.Request)
		}
	}
	for t, m := range batches {
		t.out.Add(m)
	}
}

// Loads returns how many requests wait and run in each owned pool.
func (g *Granter) Loads(ctx context.Context) (map[Key]Load, error) {
	return looper.Get(ctx, g.Loop, func() map[Key]Load {
		loads := make(map[Key]Load)
		for key, p := range g.pools {
			loads[key] = Load{
				Waiting: p.scheduler.Waiting(),
				Running: p.scheduler.Flights(),
			}
		}
		return loads
	})
}

// Load is a pool's work at one moment.
type Load struct {
	Waiting int `json:"waiting"`
	Running int `json:"running"`
}
