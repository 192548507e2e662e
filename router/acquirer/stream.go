package acquirer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/assigner"
	"heatherhold.dev/router/granter"
)

const (
	// heartbeatsPerLimit is the number of heartbeats within the time that a stream
	// may be without a message. A message replaces the next heartbeat.
	heartbeatsPerLimit = 4
	// standalonePeriod is how long an entry schedules alone before it tries the owner
	// again.
	standalonePeriod = 500 * time.Millisecond
)

// errOwnerChanged means that the pool has another owner now. It also ends a period
// of scheduling alone.
var errOwnerChanged = errors.New("the pool has another owner")

// ownerStream is the entry's end of a stream to a remote owner.
type ownerStream interface {
	Send(*messenger.ToOwner) error
	Recv() (*messenger.FromOwner, error)
}

// runPool keeps a stream to the pool's owner until ctx ends. If that fails, it
// schedules alone for standalonePeriod and tries again.
func (a *Acquirer) runPool(ctx context.Context, p *pool) error {
	for ctx.Err() == nil {
		owner, ok := a.owner(p)
		var err error
		if ok && owner == a.Self {
			err = a.runLocal(ctx, p, granter.Key{Service: p.service}, a.ownerUnchanged(p, owner))
		} else {
			err = a.runRemote(ctx, p, owner)
		}
		if ctx.Err() != nil || errors.Is(err, errOwnerChanged) {
			continue
		}
		a.logAlone(p, owner, err)
		retryAt := time.Now().Add(standalonePeriod)
		standalone := granter.Key{
			Service:    p.service,
			Standalone: true,
		}
		err = a.runLocal(ctx, p, standalone, func() bool { return time.Now().Before(retryAt) })
		if err != nil && !errors.Is(err, errOwnerChanged) {
			a.Log.WithError(err).WithField("pool", p.service).Warn("not scheduled alone")
			sleep(ctx, time.Until(retryAt))
		}
	}
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (a *Acquirer) owner(p *pool) (identifier.Instance, bool) {
	return assigner.Owner(p.service, a.Publisher.View().Eligible)
}

// ownerUnchanged returns a function that reports whether the pool's owner is still
// the given one.
func (a *Acquirer) ownerUnchanged(p *pool, owner identifier.Instance) func() bool {
	return func() bool {
		current, ok := a.owner(p)
		return ok && current == owner
	}
}

// runLocal runs a stream to a pool in this process for as long as keep returns
// true. Then it returns errOwnerChanged.
func (a *Acquirer) runLocal(ctx context.Context, p *pool, key granter.Key, keep func() bool) error {
	stream, err := a.Granter.Open(ctx, key)
	if err != nil {
		return err
	}
	defer stream.Close()
	first := &messenger.ToOwner{Instance: string(a.Self)}
	a.fillFirst(p, a.Self, key.Standalone, first)
	stream.Send(first)
	ticker := time.NewTicker(a.InactivityTimeout / heartbeatsPerLimit)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.out.Ready():
			stream.Send(a.nextMessage(p))
		case <-stream.Ready():
			for _, m := range stream.Receive() {
				p.deliver(m)
			}
		case <-ticker.C:
			if !keep() {
				return errOwnerChanged
			}
		}
	}
}

// nextMessage collects the queued asks, releases and cancels in one message.
func (a *Acquirer) nextMessage(p *pool) *messenger.ToOwner {
	m := &messenger.ToOwner{Pool: string(p.service)}
	for _, f := range p.out.Drain() {
		f(m)
	}
	a.stateList(m)
	return m
}

// runRemote runs a stream to the owner over a connection of its own, until the
// stream fails, no message arrives within the time limit, or the pool has another
// owner.
func (a *Acquirer) runRemote(ctx context.Context, p *pool, owner identifier.Instance) error {
	address, ok := a.Publisher.View().Peers[owner]
	if !ok {
		return errors.Errorf("no address for instance %q", owner)
	}
	conn, err := a.Dialer.Open(ctx, address)
	if err != nil {
		return err
	}
	// The connection is discarded here whatever state it is in, so an error on
	// closing it does not matter.
	defer func() { _ = conn.Close() }()
	group, ctx := errgroup.WithContext(ctx)
	stream, err := messenger.NewDRPCPeerClient(conn).Tickets(ctx)
	if err != nil {
		return errors.Wrap(err, "open ticket stream")
	}
	p.forgetUnknown()
	received := make(chan struct{}, 1)
	group.Go(func() error { return p.receive(stream, received) })
	group.Go(func() error { return a.awaitOwnList(ctx, p) })
	group.Go(func() error { return a.send(ctx, p, owner, stream) })
	group.Go(func() error { return granter.AwaitInactivity(ctx, received, a.InactivityTimeout) })
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	return group.Wait()
}

func (p *pool) receive(stream ownerStream, received chan<- struct{}) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		select {
		case received <- struct{}{}:
		default:
		}
		p.deliver(m)
	}
}

func (a *Acquirer) send(ctx context.Context, p *pool, owner identifier.Instance, stream ownerStream) error {
	unchanged := a.ownerUnchanged(p, owner)
	first := &messenger.ToOwner{
		Instance: string(a.Self),
		Pool:     string(p.service),
	}
	a.fillFirst(p, owner, false, first)
	if err := stream.Send(first); err != nil {
		return errors.Wrap(err, "send")
	}
	heartbeat := time.NewTicker(a.InactivityTimeout / heartbeatsPerLimit)
	defer heartbeat.Stop()
	sent := true
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.out.Ready():
			sent = true
		case <-heartbeat.C:
			if !unchanged() {
				return errOwnerChanged
			}
			if sent {
				// A message since the last heartbeat makes this one unnecessary.
				sent = false
				continue
			}
		}
		if err := stream.Send(a.nextMessage(p)); err != nil {
			return errors.Wrap(err, "send")
		}
	}
}
