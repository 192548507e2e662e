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
	// beats is how many heartbeats fit in one silence limit.
	beats = 4
	// aloneFor is how long an entry schedules alone before it tries the owner again.
	aloneFor = 500 * time.Millisecond
)

// errMoved says that the pool has another owner now.
var errMoved = errors.New("the pool has another owner")

// remote is the entry's end of a conversation.
type remote interface {
	Send(*messenger.ToOwner) error
	Recv() (*messenger.FromOwner, error)
}

// converse keeps a conversation with the pool's owner until ctx ends.
func (a *Acquirer) converse(ctx context.Context, p *pool) error {
	for ctx.Err() == nil {
		owner, ok := a.owner(p)
		var err error
		if ok && owner == a.Self {
			err = a.local(ctx, p, granter.Key{Service: p.service}, a.stays(p, owner))
		} else {
			err = a.remote(ctx, p, owner)
		}
		if ctx.Err() != nil || errors.Is(err, errMoved) {
			continue
		}
		a.Log.WithError(err).WithField("owner", owner).WithField("pool", p.service).Warn("pool owner not reached; scheduling alone")
		until := time.Now().Add(aloneFor)
		alone := granter.Key{
			Service: p.service,
			Alone:   true,
		}
		err = a.local(ctx, p, alone, func() bool { return time.Now().Before(until) })
		if err != nil && !errors.Is(err, errMoved) {
			a.Log.WithError(err).WithField("pool", p.service).Warn("not scheduled alone")
			pause(ctx, time.Until(until))
		}
	}
	return nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (a *Acquirer) owner(p *pool) (identifier.Instance, bool) {
	return assigner.Owner(p.service, a.Observer.View().Live)
}

// stays returns whether the pool's owner is still the given one.
func (a *Acquirer) stays(p *pool, owner identifier.Instance) func() bool {
	return func() bool {
		now, ok := a.owner(p)
		return ok && now == owner
	}
}

// local talks to a pool in this process for as long as stays says so.
func (a *Acquirer) local(ctx context.Context, p *pool, key granter.Key, stays func() bool) error {
	talk, err := a.Granter.Open(ctx, key)
	if err != nil {
		return err
	}
	defer talk.Close()
	first := &messenger.ToOwner{}
	p.resume(a.Self, first)
	talk.Send(first)
	check := time.NewTicker(a.Silence / beats)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.out.Ready():
			talk.Send(p.message())
		case <-talk.Ready():
			for _, m := range talk.Receive() {
				p.take(m)
			}
		case <-check.C:
			if !stays() {
				return errMoved
			}
		}
	}
}

// message collects what is to be said now.
func (p *pool) message() *messenger.ToOwner {
	m := &messenger.ToOwner{Pool: string(p.service)}
	for _, f := range p.out.Take() {
		f(m)
	}
	return m
}

// remote talks to the owner over a connection of its own, until it fails, goes
// silent or the pool has another owner.
func (a *Acquirer) remote(ctx context.Context, p *pool, owner identifier.Instance) error {
	address, ok := a.Observer.View().Peers[owner]
	if !ok {
		return errors.Errorf("no address for instance %q", owner)
	}
	conn, err := a.Dialer.Open(ctx, address)
	if err != nil {
		return err
	}
	// The connection is given up as a whole, whatever state it is in.
	defer func() { _ = conn.Close() }()
	group, ctx := errgroup.WithContext(ctx)
	stream, err := messenger.NewDRPCPeerClient(conn).Tickets(ctx)
	if err != nil {
		return errors.Wrap(err, "open tickets")
	}
	heard := make(chan struct{}, 1)
	group.Go(func() error { return p.receive(stream, heard) })
	group.Go(func() error { return a.send(ctx, p, owner, stream) })
	group.Go(func() error { return granter.AwaitInactivity(ctx, heard, a.Silence) })
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	return group.Wait()
}

func (p *pool) receive(r remote, heard chan<- struct{}) error {
	for {
		m, err := r.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		p.take(m)
	}
}

func (a *Acquirer) send(ctx context.Context, p *pool, owner identifier.Instance, r remote) error {
	stays := a.stays(p, owner)
	first := &messenger.ToOwner{
		Instance: string(a.Self),
		Pool:     string(p.service),
	}
	p.resume(owner, first)
	if err := r.Send(first); err != nil {
		return errors.Wrap(err, "send")
	}
	beat := time.NewTicker(a.Silence / beats)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.out.Ready():
		case <-beat.C:
			if !stays() {
				return errMoved
			}
		}
		if err := r.Send(p.message()); err != nil {
			return errors.Wrap(err, "send")
		}
	}
}
