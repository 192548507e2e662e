package acquirer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
)

const (
	// ownListCheck is how often an entry whose owner can't decide looks whether its own list
	// covers every layer meanwhile.
	ownListCheck = 50 * time.Millisecond
	// defaultLongestWait is the longest wait of a request whose ask states none.
	defaultLongestWait = time.Second
	// unknownRetryAfter is when a caller may try again that was refused for want of a list.
	unknownRetryAfter = time.Second
)

// errOwnerUninformed means that the pool's owner can't decide on a request, and that this
// instance's own list covers every layer.
var errOwnerUninformed = errors.New("the pool's owner can't decide: its list of endpoints is missing or older than this instance's")

// errNoList means that a request's longest wait has ended while neither the owner nor this
// instance had a list of endpoints that covers every layer.
var errNoList = errors.New("no list of endpoints that covers every layer")

// stateList states the position of this instance's list in a message with asks.
func (a *Acquirer) stateList(m *messenger.ToOwner) {
	if len(m.GetAsks()) > 0 {
		m.List = messenger.PositionOf(a.Publisher.List())
	}
}

// await waits for the decision on a request. It returns errNoList once the longest wait has
// ended and the owner still can't decide, and the error of ctx if that ends first.
func (a *Acquirer) await(ctx context.Context, p *pool, w *waiter) (result, error) {
	var expired <-chan time.Time
	for {
		select {
		case got := <-w.result:
			return got, nil
		case <-ctx.Done():
			return result{}, ctx.Err()
		case <-w.told:
			if limit, ok := longestWait(w.ask); ok && expired == nil {
				timer := time.NewTimer(time.Until(w.askedAt.Add(limit)))
				defer timer.Stop()
				expired = timer.C
			}
		case <-expired:
			if p.isUnknown(w) {
				return result{}, errNoList
			}
			// Another owner, or this instance alone, decides now.
			expired = nil
		}
	}
}

// longestWait returns how long a request may wait for a chain; false if only its caller's
// deadline limits that, as with a stream that already has tokens.
func longestWait(ask *messenger.Ask) (time.Duration, bool) {
	switch {
	case ask.GetResumed():
		return 0, false
	case ask.GetPromise() != nil && ask.GetPromise().PatienceMs != nil:
		// A refusal that arrives before the caller leaves can still tell it when to return.
		return scalePatience(max(ask.GetPromise().GetPatienceMs(), 0)), true
	case ask.GetPromise().GetRemainingMs() > 0:
		return time.Duration(ask.GetPromise().GetRemainingMs()) * time.Millisecond, true
	case ask.GetTerms().GetMaxWaitMs() > 0:
		return time.Duration(ask.GetTerms().GetMaxWaitMs()) * time.Millisecond, true
	}
	return defaultLongestWait, true
}

// patienceFraction is the fraction of a caller's patience for which its request waits.
const patienceFraction = 0.8

func scalePatience(ms int64) time.Duration {
	return time.Duration(patienceFraction * float64(ms) * float64(time.Millisecond))
}

// markUnknown records the requests on which the owner can't decide. The caller holds p.mu.
func (p *pool) markUnknown(m *messenger.FromOwner) {
	if len(m.GetUnknown()) == 0 {
		return
	}
	p.ownerList = m.GetList().Position()
	for _, r := range m.GetUnknown() {
		w, ok := p.waiting[identifier.Request(r)]
		if !ok {
			continue
		}
		w.unknown = true
		signal(w.told)
		signal(p.unknown)
	}
}

// signal signals a channel with room for one signal.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// isUnknown reports whether a request still waits, and the owner can't decide on it.
func (p *pool) isUnknown(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return w.unknown && p.waiting[identifier.Request(w.ask.GetRequest())] == w
}

// anyUnknown reports whether there is a request on which the owner can't decide.
func (p *pool) anyUnknown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.waiting {
		if w.unknown {
			return true
		}
	}
	return false
}

// forgetUnknown forgets on which requests an earlier owner could not decide.
func (p *pool) forgetUnknown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.waiting {
		w.unknown = false
	}
}

// awaitOwnList returns errOwnerUninformed as soon as there is a request on which the owner can't
// decide and this instance's own list covers every layer. Until then such requests wait: the
// owner may get a list first.
func (a *Acquirer) awaitOwnList(ctx context.Context, p *pool) error {
	ticker := time.NewTicker(ownListCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.unknown:
		case <-ticker.C:
		}
		if p.anyUnknown() && a.Granter.Covers(p.service) {
			return errOwnerUninformed
		}
	}
}

// logAlone logs that this instance schedules a pool alone, and why.
func (a *Acquirer) logAlone(p *pool, owner identifier.Instance, err error) {
	log := a.Log.WithError(err).WithField("owner", owner).WithField("pool", p.service)
	own := a.Publisher.List()
	log = log.WithField("era", own.Era).WithField("version", own.Version)
	if a.ListAge != nil {
		log = log.WithField("list-age-ms", a.ListAge().Milliseconds())
	}
	if !errors.Is(err, errOwnerUninformed) {
		log.Warn("pool owner not reached; scheduling alone")
		return
	}
	theirs := p.uninformedAt()
	log.WithField("owner-era", theirs.Era).WithField("owner-version", theirs.Version).
		Warn("pool owner can't decide; scheduling alone on the own list of endpoints")
}

// uninformedAt returns the position of the owner's list when it last could not decide.
func (p *pool) uninformedAt() identifier.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownerList
}

// unknownError returns the error for the caller of a request on which nobody could decide.
func (a *Acquirer) unknownError(p *pool, err error) error {
	theirs, own := p.uninformedAt(), a.Publisher.List()
	p.mu.Lock()
	defer p.mu.Unlock()
	return &classifier.Error{
		Kind:       classifier.NoChain,
		Detail:     "neither the pool's owner nor this instance knows endpoints for every layer",
		RetryAfter: unknownRetryAfter,
		Wrapped: errors.Wrapf(err, "%s at version %d of the list in era %d, this instance at version %d in era %d",
			p.owner, theirs.Version, theirs.Era, own.Version, own.Era),
	}
}
