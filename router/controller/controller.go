// Package controller keeps one instance's control state up to date: it
// exchanges state with peers, reads the platform's list and table, and publishes
// the view that request handling uses. Only the control loop accesses the state.
package controller

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/gossiper"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/provider"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/quarantiner"
)

// Controller maintains the control state of one instance. Create it with New
// and set the exported fields before Run.
type Controller struct {
	Settings  *loader.Settings
	Loop      *executor.Loop
	Platform  provider.Platform
	Committer *committer.Committer
	Dialer    *dialer.Dialer
	Publisher *publisher.Publisher
	Granter   *granter.Granter
	// Source, if set, provides the configuration and the endpoint list.
	Source *Source
	// OnExchange, if set, is called with the result of each exchange with another
	// instance.
	OnExchange func(error)
	// Quarantiner, if set, is what the instances exchange about parts of prompts.
	Quarantiner *quarantiner.Quarantiner
	Log         logrus.FieldLogger

	// incarnation is that of state.Self; others than the control loop may read it.
	incarnation atomic.Uint64

	state  *gossiper.State
	listed []messenger.ListedInstance
	// listUnavailable is set after a failed read of the list. Only the goroutine
	// that reads the list accesses it.
	listUnavailable bool
	// parsedRevision is the revision that declaration and index were made from.
	parsedRevision identifier.Revision
	declaration    *declarer.Declaration
	index          *authenticator.Index
	// publishedChangeCount is the state's change count as of the last published view;
	// 0 makes publish publish a new view.
	publishedChangeCount uint64
	site                 *cataloguer.Configuration
	// decoded is the newest configuration that was received from the platform
	// rather than from a peer, in its decoded form.
	decoded *cataloguer.Configuration
	fleet   fleet
	// platformRevision is the highest configuration revision received from the
	// platform.
	platformRevision identifier.Revision
	publishedLive    []identifier.Instance
	registry         registry
	// discovered is set once the instances that run had time to answer after the start.
	discovered bool
	pushSignal chan struct{}

	trackedMu sync.Mutex
	tracked   map[identifier.Revision]*trackedAcceptance
}

// New returns a controller for the instance that s describes. The current time
// becomes the start time and the incarnation of the instance.
func New(s *loader.Settings, loop *executor.Loop) *Controller {
	now := time.Now()
	c := &Controller{
		Settings: s,
		Loop:     loop,
		state: &gossiper.State{
			Self: &messenger.Member{
				Instance:    string(s.Instance),
				Address:     s.Listen.Peer,
				Site:        string(s.Site),
				Incarnation: uint64(now.UnixNano()),
				Processor:   processorOf(s),
				Unlisted:    s.Store != nil,
			},
			Term:      s.Peer.Term.Std(),
			StartedAt: now,
		},
		pushSignal: make(chan struct{}, 1),
		tracked:    make(map[identifier.Revision]*trackedAcceptance),
	}
	c.incarnation.Store(c.state.Self.GetIncarnation())
	return c
}

// milliPerCore is the number of thousandths of a core in a core.
const milliPerCore = 1000

// processorOf returns the processor time that the settings grant the instance, in
// thousandths of a core; 0 if they don't say.
func processorOf(s *loader.Settings) uint32 {
	if s.Store == nil {
		return 0
	}
	return uint32(math.Round(s.Store.ProcessorShare * s.Store.ProcessorSpeed * milliPerCore))
}

// unknownRevision stands for a peer's revision that is not known yet; a request
// with it carries no changes.
const unknownRevision = identifier.Revision(math.MaxUint64)

// Run keeps the state up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	if c.Source != nil {
		return c.runSource(ctx)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runPeriodically(ctx, c.Settings.Platform.ListInterval.Std(), c.readList) })
	group.Go(func() error { return c.pollTable(ctx) })
	group.Go(func() error { return runPeriodically(ctx, c.Settings.Peer.Interval.Std(), c.exchangeWithRandomPeer) })
	group.Go(func() error { return c.pushUpdates(ctx) })
	return group.Wait()
}

// runPeriodically calls f immediately and then at the given interval until ctx
// ends. The interval is jittered so that instances don't act in step.
func runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	for {
		f(ctx)
		if !sleep(ctx, jitter(interval)) {
			return nil
		}
	}
}

// jitterFraction is the largest relative change of an interval by jitter.
const jitterFraction = 0.2

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterFraction*(2*rand.Float64()-1)))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// exchangeWithRandomPeer exchanges state with one peer picked at random.
func (c *Controller) exchangeWithRandomPeer(ctx context.Context) {
	c.exchangeWithRandomPeers(ctx, 1)
}

// pushFanout is how many peers are sent a new revision or mark immediately.
const pushFanout = 3

// pushPause is the least time between two pushes, so that news that come together travel together.
const pushPause = 40 * time.Millisecond

// pushUpdates exchanges with some peers as soon as there is a new revision or
// mark, without waiting for the exchange interval.
func (c *Controller) pushUpdates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.pushSignal:
			c.exchangeWithRandomPeers(ctx, pushFanout)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pushPause):
		}
	}
}

func (c *Controller) exchangeWithRandomPeers(ctx context.Context, n int) {
	members, err := executor.Get(ctx, c.Loop, c.exchangeCandidates)
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
	// No function returns an error: a failed peer is tried again in a later exchange.
	_ = group.Wait()
}

// suspectRatio is N where, while there are suspects, on average one in N rounds
// of exchanges goes to suspects only.
const suspectRatio = 4

// exchangeCandidates returns the members to pick exchange partners from: usually
// all that are not gone, and sometimes only the suspects, which did not respond
// before, so that a recovered one is noticed soon.
func (c *Controller) exchangeCandidates() []*messenger.Member {
	suspects := c.state.Suspects()
	if len(suspects) > 0 && rand.IntN(suspectRatio) == 0 {
		return suspects
	}
	return c.state.Members()
}

// Members returns the other instances that are not gone.
func (c *Controller) Members(ctx context.Context) ([]*messenger.Member, error) {
	return executor.Get(ctx, c.Loop, c.state.Members)
}

// exchangesPerTerm is how many consecutive exchanges fit in one term. It sets
// the timeout of an exchange.
const exchangesPerTerm = 4

// Exchange exchanges state with one peer, and a second time if the peer's
// revision is lower than the instance's own. If the first exchange fails, the
// peer is suspected.
func (c *Controller) Exchange(ctx context.Context, m *messenger.Member) (*messenger.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Settings.Peer.Term.Std()/exchangesPerTerm)
	defer cancel()
	reply, ownRevision, err := c.exchange(ctx, m, unknownRevision)
	if err != nil {
		c.Loop.Post(func() {
			c.update(func(now time.Time) { c.state.Suspect(now, m.GetInstance()) })
		})
	}
	if err != nil || identifier.Revision(reply.GetRevision()) >= ownRevision {
		return reply, err
	}
	reply, _, err = c.exchange(ctx, m, identifier.Revision(reply.GetRevision()))
	return reply, err
}

func (c *Controller) exchange(ctx context.Context, m *messenger.Member, peerRevision identifier.Revision) (*messenger.ExchangeReply, identifier.Revision, error) {
	sentAt := time.Now()
	request, err := executor.Get(ctx, c.Loop, func() *messenger.ExchangeRequest { return c.state.Request(sentAt, peerRevision) })
	if err != nil {
		return nil, 0, err
	}
	if c.Quarantiner != nil {
		request.Quarantine = c.Quarantiner.News(sentAt, identifier.Instance(m.GetInstance()))
	}
	request.Departures = c.departuresToSend(sentAt)
	reply, err := c.Dialer.Exchange(ctx, m.GetAddress(), request)
	if c.OnExchange != nil {
		c.OnExchange(err)
	}
	if err != nil {
		return nil, 0, err
	}
	if c.Quarantiner != nil {
		c.Quarantiner.Delivered(sentAt, identifier.Instance(m.GetInstance()))
		c.Quarantiner.Merge(time.Now(), reply.GetQuarantine())
	}
	c.learnReported(reply.GetReceiver(), reply.GetDepartures())
	ownRevision, err := executor.Get(ctx, c.Loop, func() identifier.Revision {
		c.update(func(now time.Time) { c.state.HandleReply(sentAt, now, reply) })
		return c.state.Revision()
	})
	return reply, ownRevision, err
}

// HandleExchange handles an exchange request from a peer and returns the reply.
func (c *Controller) HandleExchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	reply, err := executor.Get(ctx, c.Loop, func() *messenger.ExchangeReply {
		var reply *messenger.ExchangeReply
		c.update(func(now time.Time) { reply = c.state.HandleRequest(now, r) })
		return reply
	})
	now := time.Now()
	if err == nil {
		c.learnReported(r.GetSender(), r.GetDepartures())
		reply.Departures = c.departuresToSend(now)
	}
	if err == nil && c.Quarantiner != nil {
		c.Quarantiner.Merge(now, r.GetQuarantine())
		reply.Quarantine = c.Quarantiner.Reply(now, identifier.Instance(r.GetSender().GetInstance()), r.GetQuarantine())
	}
	return reply, errors.Wrap(err, "handle exchange")
}

// update calls change to modify the state, requests a push to peers if there is a new
// revision or mark or this instance has refuted a suspicion, and publishes the state.
// It runs on the control loop.
func (c *Controller) update(change func(now time.Time)) {
	now := time.Now()
	revision, marks, self := c.state.Revision(), len(c.state.Marks()), c.state.Self
	change(now)
	c.incarnation.Store(c.state.Self.GetIncarnation())
	if c.state.Revision() != revision || len(c.state.Marks()) != marks || c.state.Self != self {
		c.requestPush()
	}
	c.publish()
}

// Push sends news to some peers without waiting for the exchange interval.
func (c *Controller) Push() {
	c.requestPush()
}

func (c *Controller) requestPush() {
	select {
	case c.pushSignal <- struct{}{}:
	default:
	}
}

// MarkLeaving marks an incarnation of an endpoint as leaving, which also triggers
// sending the mark to peers.
func (c *Controller) MarkLeaving(incarnation identifier.EndpointIncarnation) {
	c.Loop.Post(func() { c.MarkLeavingOnLoop(incarnation) })
}

// MarkLeavingOnLoop is MarkLeaving for callers on the control loop.
func (c *Controller) MarkLeavingOnLoop(incarnation identifier.EndpointIncarnation) {
	if c.state.Marked(incarnation) {
		return
	}
	c.update(func(now time.Time) { c.state.Mark(now, incarnation) })
}

// Leave begins a planned stop: from now on the instance owns no pools.
func (c *Controller) Leave(ctx context.Context) error {
	c.Publisher.Stop()
	err := c.Loop.Do(ctx, func() {
		c.replaceSelf(true, false)
		c.publishedChangeCount = 0
		c.publish()
	})
	c.requestPush()
	return errors.Wrap(err, "leave")
}

// goneFanout is how many peers the instance notifies that it is gone.
const goneFanout = 8

// Withdraw ends a planned stop: from now on the instance makes no decisions. It
// notifies some peers of this and withdraws the instance from the platform's list or
// registry.
func (c *Controller) Withdraw(ctx context.Context) error {
	err := c.Loop.Do(ctx, func() {
		c.replaceSelf(true, true)
		c.Publisher.Confirm(time.Time{})
	})
	if err != nil {
		return errors.Wrap(err, "withdraw")
	}
	var group errgroup.Group
	group.Go(func() error {
		c.exchangeWithRandomPeers(ctx, goneFanout)
		return nil
	})
	if c.Source != nil {
		err = c.deregister(ctx)
	}
	// The exchanges return no error.
	_ = group.Wait()
	if c.Source != nil {
		return err
	}
	return c.Platform.Deregister(ctx, string(c.Settings.Instance))
}

// replaceSelf replaces the instance's own member entry by a copy with the given
// flags. The old entry is not modified, since a message that is being sent may
// refer to it.
func (c *Controller) replaceSelf(leaving, gone bool) {
	old := c.state.Self
	c.state.Self = &messenger.Member{
		Instance:    old.GetInstance(),
		Address:     old.GetAddress(),
		Site:        old.GetSite(),
		Incarnation: old.GetIncarnation(),
		Processor:   old.GetProcessor(),
		Refutations: old.GetRefutations(),
		Leaving:     leaving,
		Gone:        gone,
		Unlisted:    old.GetUnlisted(),
	}
}
