// Package acquirer gets tickets for an entry's requests from the pool owners.
// It holds one conversation for each pool, with the owner or, where no owner
// can be reached in time, with a pool of the entry's own.
package acquirer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/batcher"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/observer"
)

// Acquirer gets tickets. Make it with New and set the exported fields before Run.
type Acquirer struct {
	Self     identifier.Instance
	Observer *observer.Observer
	Dialer   *dialer.Dialer
	Granter  *granter.Granter
	Log      logrus.FieldLogger
	// Silence is how long a conversation may be silent.
	Silence time.Duration

	mu    sync.Mutex
	pools map[identifier.Service]*pool
	fresh *batcher.Batch[*pool]
}

// pool is the entry's side of one pool: what it wants and what it holds.
type pool struct {
	service identifier.Service
	out     *batcher.Batch[func(*messenger.ToOwner)]

	mu sync.Mutex
	// owner is who schedules the pool now, as far as this entry knows.
	owner   identifier.Instance
	waiting map[identifier.Request]*wait
	held    map[identifier.Request]*Ticket
}

// wait is a request that has no ticket yet.
type wait struct {
	ask    *messenger.Ask
	answer chan answer
}

type answer struct {
	ticket *Ticket
	err    error
}

// Ticket is the right to use a chain until it is released.
type Ticket struct {
	Chain []identifier.Stage
	// Revoked ends when more urgent work wants the chain.
	Revoked context.Context

	pool   *pool
	ask    *messenger.Ask
	revoke context.CancelFunc
}

// Outcome is how a ticket was used.
type Outcome struct {
	Tokens identifier.Tokens
	Failed identifier.Life
	Gap    time.Duration
}

// New returns an acquirer.
func New() *Acquirer {
	return &Acquirer{
		pools: make(map[identifier.Service]*pool),
		fresh: batcher.New[*pool](),
	}
}

// Run holds the conversations until ctx ends.
func (a *Acquirer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			pools, err := a.fresh.Wait(ctx)
			if err != nil {
				return nil
			}
			for _, p := range pools {
				group.Go(func() error { return a.converse(ctx, p) })
			}
		}
	})
	return group.Wait()
}

func (a *Acquirer) pool(s identifier.Service) *pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.pools[s]
	if ok {
		return p
	}
	p = &pool{
		service: s,
		out:     batcher.New[func(*messenger.ToOwner)](),
		waiting: make(map[identifier.Request]*wait),
		held:    make(map[identifier.Request]*Ticket),
	}
	a.pools[s] = p
	a.fresh.Add(p)
	return p
}

// Acquire waits for a ticket. If ctx ends first, the place in the queue is
// given up.
func (a *Acquirer) Acquire(ctx context.Context, s identifier.Service, ask *messenger.Ask) (*Ticket, error) {
	p := a.pool(s)
	w := &wait{
		ask:    ask,
		answer: make(chan answer, 1),
	}
	request := identifier.Request(ask.GetRequest())
	p.mu.Lock()
	p.waiting[request] = w
	p.mu.Unlock()
	p.out.Add(func(m *messenger.ToOwner) { m.Asks = append(m.Asks, ask) })
	select {
	case got := <-w.answer:
		return got.ticket, got.err
	case <-ctx.Done():
	}
	p.cancel(request, w)
	return nil, classifier.Wrap(classifier.Cancelled, ctx.Err(), "the caller went away")
}

// cancel gives up a place in the queue, or the ticket that came meanwhile.
func (p *pool) cancel(request identifier.Request, w *wait) {
	p.mu.Lock()
	delete(p.waiting, request)
	delete(p.held, request)
	p.mu.Unlock()
	p.out.Add(func(m *messenger.ToOwner) { m.Cancels = append(m.Cancels, string(request)) })
	select {
	case <-w.answer:
	default:
	}
}

// NewTicket returns a ticket that belongs to no owner; releasing it does nothing.
func NewTicket(ask *messenger.Ask, chain []identifier.Stage) *Ticket {
	revoked, revoke := context.WithCancel(context.Background())
	return &Ticket{
		Chain:   chain,
		Revoked: revoked,
		ask:     ask,
		revoke:  revoke,
	}
}

// Request returns the request's name at the owner.
func (t *Ticket) Request() string {
	return t.ask.GetRequest()
}

// Release gives the ticket back.
func (t *Ticket) Release(o Outcome) {
	t.revoke()
	if t.pool == nil {
		return
	}
	t.pool.mu.Lock()
	delete(t.pool.held, identifier.Request(t.ask.GetRequest()))
	t.pool.mu.Unlock()
	t.pool.out.Add(func(m *messenger.ToOwner) {
		m.Releases = append(m.Releases, &messenger.Release{
			Request:           t.ask.GetRequest(),
			Tokens:            int64(o.Tokens),
			Failed:            string(o.Failed.Endpoint),
			FailedIncarnation: uint64(o.Failed.Incarnation),
			GapMicros:         o.Gap.Microseconds(),
		})
	})
}

// take hands an owner's decisions to the requests that wait for them.
func (p *pool) take(m *messenger.FromOwner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range m.GetGrants() {
		p.grant(g)
	}
	for _, r := range m.GetRefusals() {
		p.refuse(r)
	}
	for _, r := range m.GetRevoked() {
		if t, ok := p.held[identifier.Request(r)]; ok {
			t.revoke()
		}
	}
}

func (p *pool) grant(g *messenger.Grant) {
	request := identifier.Request(g.GetRequest())
	w, ok := p.waiting[request]
	if !ok {
		return
	}
	delete(p.waiting, request)
	t := NewTicket(w.ask, granter.ChainOf(g.GetChain()))
	t.pool = p
	p.held[request] = t
	w.answer <- answer{ticket: t}
}

func (p *pool) refuse(r *messenger.Refusal) {
	request := identifier.Request(r.GetRequest())
	w, ok := p.waiting[request]
	if !ok {
		return
	}
	delete(p.waiting, request)
	w.answer <- answer{err: &classifier.Error{
		Kind:       kindOf(r),
		Detail:     r.GetDetail(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		Wrapped:    errors.Errorf("decided by %s at revision %d as %s", p.owner, r.GetRevision(), r.GetKind()),
	}}
}

// kindOf returns the kind of a refusal. The entry has admitted the request, so an
// owner may say that there is no room for it, but not that its caller is at fault:
// an owner of another build may judge by a configuration that lacks something.
func kindOf(r *messenger.Refusal) classifier.Kind {
	if k := classifier.Kind(r.GetKind()); k == classifier.Overloaded {
		return k
	}
	return classifier.NoChain
}

// resume fills the first message to a new owner: all that is wanted and held.
func (p *pool) resume(owner identifier.Instance, m *messenger.ToOwner) {
	// What is queued for the old owner is contained in the state below, but
	// for releases and cancels, which the new owner has no use for.
	p.out.Take()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner = owner
	for _, w := range p.waiting {
		m.Asks = append(m.Asks, w.ask)
	}
	for _, t := range p.held {
		m.Held = append(m.Held, &messenger.Held{
			Ask:   t.ask,
			Chain: granter.StagesOf(t.Chain),
		})
	}
}
