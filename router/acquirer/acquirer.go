// Package acquirer gets tickets from the pool owners for the requests of an entry,
// which is the instance that received the requests from its callers. It keeps one
// stream for each pool: to the pool's owner or, if the owner cannot be reached in
// time, to a pool of the entry's own.
package acquirer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/batcher"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/pacer"
	"heatherhold.dev/router/publisher"
)

// Acquirer gets tickets. Make it with New and set the exported fields before Run.
type Acquirer struct {
	Self      identifier.Instance
	Publisher *publisher.Publisher
	Dialer    *dialer.Dialer
	Granter   *granter.Granter
	Log       logrus.FieldLogger
	// InactivityTimeout is how long a stream may be without a received message before
	// it counts as failed.
	InactivityTimeout time.Duration
	// ListAge, if it is set, returns the age of this instance's list of endpoints, for log
	// lines.
	ListAge func() time.Duration

	mu       sync.Mutex
	pools    map[identifier.Service]*pool
	newPools *batcher.Batch[*pool]
}

// pool is the entry's side of one pool: its waiting requests and its tickets.
type pool struct {
	service identifier.Service
	out     *batcher.Batch[func(*messenger.ToOwner)]
	// unknown is signalled when the owner can't decide on a request.
	unknown chan struct{}

	mu sync.Mutex
	// owner is the instance that schedules the pool, as far as this entry knows.
	owner identifier.Instance
	// ownerList is the position of the owner's list when it last could not decide.
	ownerList identifier.Position
	waiting   map[identifier.Request]*waiter
	tickets   map[identifier.Request]*Ticket
	// limits holds the limits that endpoints named, in requests a second.
	limits map[identifier.EndpointIncarnation]*pacer.Named
}

// waiter is a request that has no ticket yet.
type waiter struct {
	ask *messenger.Ask
	// askedAt is when the request began to wait, and the promise of ask was true.
	askedAt time.Time
	result  chan result
	// unknown is set while the owner can't decide on the request; told is signalled when it
	// says so.
	unknown bool
	told    chan struct{}
	// countedBy is the owner that was last told of the request as a new one.
	countedBy identifier.Instance
}

type result struct {
	ticket *Ticket
	err    error
}

// Ticket is the right to use a chain until it is released.
type Ticket struct {
	Chain []identifier.Stage
	// Owner is the instance that granted the ticket, and List the position of the list of
	// endpoints on which it decided; zero if it is not known.
	Owner identifier.Instance
	List  identifier.Position
	// Retry is set if the owner has paid for a retry that the ask wanted.
	Retry bool
	// Revoked is cancelled when the owner revokes the ticket because more urgent
	// work needs the chain, and when the ticket is released.
	Revoked context.Context

	pool *pool
	ask  *messenger.Ask
	// askedAt is when the promise of ask was true.
	askedAt time.Time
	revoke  context.CancelFunc
}

// Outcome is the result of the use of a ticket, which Release reports to the owner.
type Outcome struct {
	Tokens identifier.Tokens
	Failed identifier.EndpointIncarnation
	Gap    time.Duration
	// FirstEvent is the time from the sending of the request to the first stage until its
	// first event; zero if there was none.
	FirstEvent time.Duration
	// RetryUnused is set if the ticket includes a retry that was not made.
	RetryUnused bool
}

// ErrNoRetryLeft means that the owner's budget has no retry left for a request that wanted one.
var ErrNoRetryLeft = errors.New("no retry is left")

// New returns an acquirer without pools.
func New() *Acquirer {
	return &Acquirer{
		pools:    make(map[identifier.Service]*pool),
		newPools: batcher.New[*pool](),
	}
}

// Run keeps the streams of all pools until ctx ends.
func (a *Acquirer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			pools, err := a.newPools.Wait(ctx)
			if err != nil {
				return nil
			}
			for _, p := range pools {
				group.Go(func() error { return a.runPool(ctx, p) })
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
		unknown: make(chan struct{}, 1),
		waiting: make(map[identifier.Request]*waiter),
		tickets: make(map[identifier.Request]*Ticket),
		limits:  make(map[identifier.EndpointIncarnation]*pacer.Named),
	}
	a.pools[s] = p
	a.newPools.Add(p)
	return p
}

// Acquire asks for a ticket and waits for it. If ctx ends first, the request is
// removed from the queue.
func (a *Acquirer) Acquire(ctx context.Context, s identifier.Service, ask *messenger.Ask) (*Ticket, error) {
	p := a.pool(s)
	w := &waiter{
		ask:     ask,
		askedAt: time.Now(),
		result:  make(chan result, 1),
		told:    make(chan struct{}, 1),
	}
	request := identifier.Request(ask.GetRequest())
	p.mu.Lock()
	p.waiting[request] = w
	w.countedBy = p.owner
	p.mu.Unlock()
	p.out.Add(func(m *messenger.ToOwner) { m.Asks = append(m.Asks, agedAsk(ask, time.Since(w.askedAt))) })
	got, err := a.await(ctx, p, w)
	if err == nil {
		return got.ticket, got.err
	}
	p.cancel(request, w)
	if errors.Is(err, errNoList) {
		return nil, a.unknownError(p, err)
	}
	return nil, classifier.Wrap(classifier.Cancelled, ctx.Err(), "the request ended before it got a chain")
}

// cancel removes a request from the queue, or gives back the ticket that was
// granted meanwhile.
func (p *pool) cancel(request identifier.Request, w *waiter) {
	p.mu.Lock()
	delete(p.waiting, request)
	delete(p.tickets, request)
	p.mu.Unlock()
	p.out.Add(func(m *messenger.ToOwner) { m.Cancels = append(m.Cancels, string(request)) })
	select {
	case <-w.result:
	default:
	}
}

// NewTicket returns a ticket that belongs to no pool; Release reports it to no owner.
func NewTicket(ask *messenger.Ask, chain []identifier.Stage) *Ticket {
	revoked, revoke := context.WithCancel(context.Background())
	return &Ticket{
		Chain:   chain,
		Revoked: revoked,
		ask:     ask,
		askedAt: time.Now(),
		revoke:  revoke,
	}
}

// Request returns the identifier under which the owner knows the request.
func (t *Ticket) Request() string {
	return t.ask.GetRequest()
}

// Release returns the ticket to the pool's owner.
func (t *Ticket) Release(o Outcome) {
	t.release(o, nil)
}

// GiveBack returns the ticket to the pool's owner, unused, because endpoints of its chain have
// left the list, which the owner learns by this.
func (t *Ticket) GiveBack(departures []cataloguer.Departure) {
	t.release(Outcome{}, departures)
}

func (t *Ticket) release(o Outcome, departures []cataloguer.Departure) {
	t.revoke()
	if t.pool == nil {
		return
	}
	t.pool.mu.Lock()
	delete(t.pool.tickets, identifier.Request(t.ask.GetRequest()))
	t.pool.mu.Unlock()
	t.pool.out.Add(func(m *messenger.ToOwner) {
		m.AddDepartures(time.Now(), departures)
		m.Releases = append(m.Releases, &messenger.Release{
			Request:           t.ask.GetRequest(),
			Tokens:            int64(o.Tokens),
			Failed:            string(o.Failed.Endpoint),
			FailedIncarnation: uint64(o.Failed.Incarnation),
			GapMicros:         o.Gap.Microseconds(),
			FirstEventMicros:  o.FirstEvent.Microseconds(),
			RetryUnused:       o.RetryUnused && t.Retry,
		})
	})
}

// ReportStall tells the pool's owner that the request makes no progress because of an
// endpoint. The ticket stays in use, but others may get the places.
func (t *Ticket) ReportStall(failed identifier.EndpointIncarnation) {
	held := t.held()
	held.Failed = markOf(failed)
	t.report(held)
}

// ReportProgress tells the pool's owner that a request that stalled goes on.
func (t *Ticket) ReportProgress() {
	t.report(t.held())
}

func (t *Ticket) report(held *messenger.Held) {
	if t.pool != nil {
		t.pool.out.Add(func(m *messenger.ToOwner) { m.Held = append(m.Held, held) })
	}
}

// held returns the ticket as it is reported to an owner.
func (t *Ticket) held() *messenger.Held {
	return &messenger.Held{
		Ask:   agedAsk(t.ask, time.Since(t.askedAt)),
		Chain: granter.StagesOf(t.Chain),
	}
}

// ReportLimit tells the pool's owner how many requests a second an endpoint takes as the
// first of a chain, according to its answer to a request that was sent at sentAt; 0 if
// the answer names no limit. It reports whether the limit changed.
func (t *Ticket) ReportLimit(now, sentAt time.Time, incarnation identifier.EndpointIncarnation, perSecond float64) bool {
	if t.pool == nil {
		return false
	}
	changed, report := t.pool.updateLimit(now, sentAt, incarnation, perSecond)
	if report {
		t.pool.out.Add(func(m *messenger.ToOwner) { m.Limits = append(m.Limits, limitOf(incarnation, perSecond)) })
	}
	return changed
}

// updateLimit records a limit. It returns whether it changed and whether the owner is to
// be told.
func (p *pool) updateLimit(now, sentAt time.Time, incarnation identifier.EndpointIncarnation, perSecond float64) (changed, report bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, ok := p.limits[incarnation]
	if !ok {
		if perSecond <= 0 {
			return false, false
		}
		maps.DeleteFunc(p.limits, func(_ identifier.EndpointIncarnation, l *pacer.Named) bool { return l.Age(now) > limitRetention })
		limit = &pacer.Named{}
		p.limits[incarnation] = limit
	}
	changed = limit.Update(now, sentAt, perSecond)
	if limit.PerSecond == 0 {
		delete(p.limits, incarnation)
		return changed, changed
	}
	// A late answer that names no limit is not reported.
	return changed, perSecond > 0 && limit.Report(now)
}

// limitRetention is how long a limit is reported to a new owner after it was last named.
const limitRetention = time.Minute

func limitOf(incarnation identifier.EndpointIncarnation, perSecond float64) *messenger.EndpointLimit {
	return &messenger.EndpointLimit{
		Endpoint:  markOf(incarnation),
		PerSecond: perSecond,
	}
}

func markOf(incarnation identifier.EndpointIncarnation) *messenger.Mark {
	return &messenger.Mark{
		Endpoint:    string(incarnation.Endpoint),
		Incarnation: uint64(incarnation.Incarnation),
	}
}

// deliver passes an owner's decisions to the requests that they are about.
func (p *pool) deliver(m *messenger.FromOwner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range m.GetGrants() {
		p.grant(g, m.GetList().Position())
	}
	for _, r := range m.GetRefusals() {
		p.refuse(r, m.GetList().Position())
	}
	p.markUnknown(m)
	for _, r := range m.GetRevoked() {
		if t, ok := p.tickets[identifier.Request(r)]; ok {
			t.revoke()
		}
	}
}

// grant passes on a ticket; list is the position of the list on which the owner decided.
func (p *pool) grant(g *messenger.Grant, list identifier.Position) {
	request := identifier.Request(g.GetRequest())
	w, ok := p.waiting[request]
	if !ok {
		return
	}
	delete(p.waiting, request)
	if len(g.GetChain()) == 0 {
		p.out.Add(func(m *messenger.ToOwner) { m.Cancels = append(m.Cancels, string(request)) })
		w.result <- result{err: &classifier.Error{
			Kind:    classifier.NoChain,
			Detail:  "the pool's owner granted no endpoint",
			Wrapped: errors.Errorf("grant without a chain by %s", p.owner),
		}}
		return
	}
	t := NewTicket(w.ask, granter.ChainOf(g.GetChain()))
	t.Owner = p.owner
	t.Retry = g.GetRetry()
	t.List = list
	t.pool = p
	t.askedAt = w.askedAt
	p.tickets[request] = t
	w.result <- result{ticket: t}
}

// refuse passes on a refusal; list is the position of the list on which the owner decided.
func (p *pool) refuse(r *messenger.Refusal, list identifier.Position) {
	request := identifier.Request(r.GetRequest())
	w, ok := p.waiting[request]
	if !ok {
		return
	}
	delete(p.waiting, request)
	cause := errors.New("refused")
	if r.GetRetry() {
		cause = ErrNoRetryLeft
	}
	w.result <- result{err: &classifier.Error{
		Kind:       kindOf(r),
		Detail:     r.GetDetail(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		Wrapped:    errors.Wrapf(cause, "decided by %s at revision %d and version %d of the list in era %d as %s", p.owner, r.GetRevision(), list.Version, list.Era, r.GetKind()),
	}}
}

// kindOf returns the error kind of a refusal. The entry has admitted the request,
// so a refusal may mean that there is no capacity for it, but never that the caller
// made an error: an owner of another build may decide by a configuration that lacks
// something. All kinds but Overloaded become NoChain.
func kindOf(r *messenger.Refusal) classifier.Kind {
	if k := classifier.Kind(r.GetKind()); k == classifier.Overloaded {
		return k
	}
	return classifier.NoChain
}

// fillFirst fills the first message to a new owner with all waiting requests, all tickets in
// use and the endpoints that are known to have left: an owner that was away may not know it. If
// alone is set, this instance schedules alone, and no request counts as a new one at an owner.
func (a *Acquirer) fillFirst(p *pool, owner identifier.Instance, alone bool, m *messenger.ToOwner) {
	// The messages queued for the old owner can be dropped: the asks are contained
	// in the state below, and the new owner does not need the releases and cancels.
	p.out.Drain()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner = owner
	m.AddDepartures(time.Now(), a.Publisher.View().Departures)
	for incarnation, l := range p.limits {
		m.Limits = append(m.Limits, limitOf(incarnation, l.PerSecond))
	}
	for _, w := range p.waiting {
		w.unknown = false
		ask := agedAsk(w.ask, time.Since(w.askedAt))
		if ask.GetFirst() && !alone {
			if w.countedBy == owner {
				ask = proto.CloneOf(ask)
				ask.First = false
			}
			w.countedBy = owner
		}
		m.Asks = append(m.Asks, ask)
	}
	a.stateList(m)
	for _, t := range p.tickets {
		m.Held = append(m.Held, t.held())
	}
}
