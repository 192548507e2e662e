// Package controller keeps one instance's control state up to date: it
// exchanges with peers, reads the platform's list and table, and publishes what
// traffic decides by. The state itself belongs to the control loop.
package controller

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/authenticator"
	"heatherhold.dev/router/committer"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/keeper"
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/looper"
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/spreader"
)

// Controller runs the control side of one instance. Make it with New and set
// the exported fields before Run.
type Controller struct {
	Settings  *loader.Settings
	Loop      *looper.Loop
	Platform  keeper.Platform
	Committer *committer.Committer
	Dialer    *dialer.Dialer
	Observer  *observer.Observer
	Granter   *granter.Granter
	// Source, if it is set, is where configuration and list come from.
	Source *Source
	// Exchanged, if it is set, is told of each exchange with another instance.
	Exchanged func(error)
	Log       logrus.FieldLogger

	incarnation uint64

	state  *spreader.State
	listed []messenger.Listed
	// listLost is set while the list is not read; only the goroutine that reads it uses it.
	listLost bool
	built    identifier.Revision
	parsed   *declarer.Declaration
	index    *authenticator.Index
	edits    uint64
	site     *cataloguer.Configuration
	// decoded is the newest configuration that came from the platform itself, as
	// it was read there.
	decoded *cataloguer.Configuration
	fleet   fleet
	// head is the newest configuration that the platform was seen to have.
	head identifier.Revision
	live []identifier.Instance
	news chan struct{}

	followedMu sync.Mutex
	followed   map[identifier.Revision]*followed
}

// New returns a controller for the instance that s describes, born now.
func New(s *loader.Settings, loop *looper.Loop) *Controller {
	now := time.Now()
	return &Controller{
		Settings:    s,
		Loop:        loop,
		incarnation: uint64(now.UnixNano()),
		state: &spreader.State{
			Self: &messenger.Member{
				Instance:    string(s.Instance),
				Address:     s.Listen.Peer,
				Site:        string(s.Site),
				Incarnation: uint64(now.UnixNano()),
			},
			Term: s.Peer.Term.Std(),
			Born: now,
		},
		news:     make(chan struct{}, 1),
		followed: make(map[identifier.Revision]*followed),
	}
}

// unknownRevision stands for a peer's revision that was not yet heard.
const unknownRevision = identifier.Revision(math.MaxUint64)

// Run keeps the state up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	if c.Source != nil {
		return c.runSource(ctx)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, c.Settings.Platform.ListInterval.Std(), c.readList) })
	group.Go(func() error { return c.readTableAlways(ctx) })
	group.Go(func() error { return every(ctx, c.Settings.Peer.Interval.Std(), c.exchangeOne) })
	group.Go(func() error { return c.pushNews(ctx) })
	return group.Wait()
}

// every calls f at once and then at each interval, a little apart on each
// instance, until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	for {
		f(ctx)
		if !pause(ctx, jitter(interval)) {
			return nil
		}
	}
}

// jitterPart is how far an interval is changed at most.
const jitterPart = 0.2

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterPart*(2*rand.Float64()-1)))
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// exchangeOne exchanges with one peer, picked at random.
func (c *Controller) exchangeOne(ctx context.Context) {
	c.exchangeSome(ctx, 1)
}

// pushFanout is how many peers are told of news at once.
const pushFanout = 3

// pushNews tells peers of a new revision or mark without waiting for the interval.
func (c *Controller) pushNews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.news:
			c.exchangeSome(ctx, pushFanout)
		}
	}
}

func (c *Controller) exchangeSome(ctx context.Context, n int) {
	members, err := looper.Get(ctx, c.Loop, c.candidates)
	if err != nil {
		return
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var group errgroup.Group
	for _, m := range members[:min(n, len(members))] {
		group.Go(func() error {
			if _, err := c.Exchange(ctx, m); err != nil {
				c.Log.WithError(err).WithField("peer", m.GetInstance()).Debug("peer not reached")
			}
			return nil
		})
	}
	// Peers that are not reached are tried again; there is no other error.
	_ = group.Wait()
}

// suspectPart is for one in how many exchanges a suspect is tried.
const suspectPart = 4

// candidates returns whom to exchange with: mostly anyone, and now and then only
// those that did not answer, so that one that is back is seen soon.
func (c *Controller) candidates() []*messenger.Member {
	suspects := c.state.Suspects()
	if len(suspects) > 0 && rand.IntN(suspectPart) == 0 {
		return suspects
	}
	return c.state.Members()
}

// Members returns the other instances that are not gone.
func (c *Controller) Members(ctx context.Context) ([]*messenger.Member, error) {
	return looper.Get(ctx, c.Loop, c.state.Members)
}

// exchangeParts is how many exchanges fit in one term.
const exchangeParts = 4

// Exchange exchanges with one peer, and once more if the peer is behind.
func (c *Controller) Exchange(ctx context.Context, m *messenger.Member) (*messenger.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Settings.Peer.Term.Std()/exchangeParts)
	defer cancel()
	reply, mine, err := c.exchange(ctx, m, unknownRevision)
	if err != nil {
		c.Loop.Post(func() {
			c.update(func(now time.Time) { c.state.Suspect(now, m.GetInstance()) })
		})
	}
	if err != nil || identifier.Revision(reply.GetRevision()) >= mine {
		return reply, err
	}
	reply, _, err = c.exchange(ctx, m, identifier.Revision(reply.GetRevision()))
	return reply, err
}

func (c *Controller) exchange(ctx context.Context, m *messenger.Member, known identifier.Revision) (*messenger.ExchangeReply, identifier.Revision, error) {
	sent := time.Now()
	request, err := looper.Get(ctx, c.Loop, func() *messenger.ExchangeRequest { return c.state.Request(sent, known) })
	if err != nil {
		return nil, 0, err
	}
	reply, err := c.Dialer.Exchange(ctx, m.GetAddress(), request)
	if c.Exchanged != nil {
		c.Exchanged(err)
	}
	if err != nil {
		return nil, 0, err
	}
	mine, err := looper.Get(ctx, c.Loop, func() identifier.Revision {
		c.update(func(now time.Time) { c.state.Receive(sent, now, reply) })
		return c.state.Revision()
	})
	return reply, mine, err
}

// Answer answers a peer's exchange.
func (c *Controller) Answer(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	reply, err := looper.Get(ctx, c.Loop, func() *messenger.ExchangeReply {
		var reply *messenger.ExchangeReply
		c.update(func(now time.Time) { reply = c.state.Answer(now, r) })
		return reply
	})
	return reply, errors.Wrap(err, "answer exchange")
}

// update changes the state and publishes it. It runs on the control loop.
func (c *Controller) update(change func(now time.Time)) {
	now := time.Now()
	revision, marks := c.state.Revision(), len(c.state.Marks())
	change(now)
	if c.state.Revision() != revision || len(c.state.Marks()) != marks {
		c.signal()
	}
	c.publish()
}

func (c *Controller) signal() {
	select {
	case c.news <- struct{}{}:
	default:
	}
}

// MarkLeaving notes that an endpoint's life is leaving and spreads it.
func (c *Controller) MarkLeaving(l identifier.Life) {
	c.Loop.Post(func() { c.MarkOnLoop(l) })
}

// MarkOnLoop is MarkLeaving for callers on the control loop.
func (c *Controller) MarkOnLoop(l identifier.Life) {
	if c.state.Marked(l) {
		return
	}
	c.update(func(now time.Time) { c.state.Mark(now, l) })
}

// Leave begins a planned stop: the instance owns no pools from now on.
func (c *Controller) Leave(ctx context.Context) error {
	c.Observer.Stop()
	err := c.Loop.Do(ctx, func() {
		c.replaceSelf(true, false)
		c.edits = 0
		c.publish()
	})
	c.signal()
	return errors.Wrap(err, "leave")
}

// goneFanout is how many peers are told that the instance is gone.
const goneFanout = 8

// Depart ends a planned stop: the instance decides nothing from now on, and
// tells so.
func (c *Controller) Depart(ctx context.Context) error {
	err := c.Loop.Do(ctx, func() {
		c.replaceSelf(true, true)
		c.Observer.Confirm(time.Time{})
	})
	if err != nil {
		return errors.Wrap(err, "depart")
	}
	c.exchangeSome(ctx, goneFanout)
	if c.Source != nil {
		return nil
	}
	return c.Platform.Withdraw(ctx, string(c.Settings.Instance))
}

// replaceSelf sets the flags in a copy: the old one may be on its way.
func (c *Controller) replaceSelf(leaving, gone bool) {
	old := c.state.Self
	c.state.Self = &messenger.Member{
		Instance:    old.GetInstance(),
		Address:     old.GetAddress(),
		Site:        old.GetSite(),
		Incarnation: old.GetIncarnation(),
		Leaving:     leaving,
		Gone:        gone,
	}
}
