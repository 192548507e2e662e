package granter

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/looper"
	"heatherhold.dev/router/scheduler"
)

// ErrSilent says that the other end of a conversation went silent.
var ErrSilent = errors.New("the conversation went silent")

// ErrNoConfiguration says that the instance has no configuration to decide by.
var ErrNoConfiguration = errors.New("no configuration is in force yet")

// configurationWait is how long an entry's conversation waits for an owner that
// has no configuration yet; then the entry had better schedule alone.
const configurationWait = 200 * time.Millisecond

// Stream is a conversation as drpc gives it to the owner.
type Stream interface {
	Context() context.Context
	Send(*messenger.FromOwner) error
	Recv() (*messenger.ToOwner, error)
}

func sorted(reports []scheduler.Report) []scheduler.Report {
	slices.SortFunc(reports, func(a, b scheduler.Report) int {
		return strings.Compare(a.String(), b.String())
	})
	return reports
}

// Serve serves one entry's conversation until it ends or goes silent. Every
// message, an empty one too, renews the leases of the entry's tickets.
func (g *Granter) Serve(s Stream) error {
	first, err := s.Recv()
	if err != nil {
		return errors.Wrap(err, "first message")
	}
	talk, err := g.Open(s.Context(), Key{Service: identifier.Service(first.GetPool())})
	if err != nil {
		return err
	}
	defer talk.Close()
	talk.Send(first)
	group, ctx := errgroup.WithContext(s.Context())
	heard := make(chan struct{}, 1)
	group.Go(func() error { return receive(s, talk, heard) })
	group.Go(func() error { return send(ctx, s, talk) })
	group.Go(func() error { return Watch(ctx, heard, g.Lease) })
	// drpc ends the receiver's wait only when the call returns, so the first
	// error must not wait for it.
	<-ctx.Done()
	return context.Cause(ctx)
}

func receive(s Stream, talk *Local, heard chan<- struct{}) error {
	for {
		m, err := s.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		talk.Send(m)
	}
}

// heartbeats is how many messages fit in one lease at least.
const heartbeats = 4

func send(ctx context.Context, s Stream, talk *Local) error {
	beat := time.NewTicker(talk.granter.Lease / heartbeats)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-talk.Ready():
		case <-beat.C:
			if err := s.Send(&messenger.FromOwner{}); err != nil {
				return errors.Wrap(err, "send heartbeat")
			}
		}
		for _, m := range talk.Take() {
			if err := s.Send(m); err != nil {
				return errors.Wrap(err, "send")
			}
		}
	}
}

// Watch returns ErrSilent once nothing was heard for the given time.
func Watch(ctx context.Context, heard <-chan struct{}, limit time.Duration) error {
	t := time.NewTimer(limit)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heard:
			t.Reset(limit)
		case <-t.C:
			return ErrSilent
		}
	}
}

// Local is a conversation within the process.
type Local struct {
	granter *Granter
	talk    *Talk
}

// Open begins a conversation about a pool. An instance that has just started
// decides nothing before it has a configuration: Open waits for it for a moment,
// and returns ErrNoConfiguration if it does not come.
func (g *Granter) Open(ctx context.Context, key Key) (*Local, error) {
	if err := g.awaitConfiguration(ctx); err != nil {
		return nil, err
	}
	talk, err := looper.Get(ctx, g.Loop, func() *Talk {
		if ctx.Err() != nil {
			// Nobody is left to close the conversation.
			return nil
		}
		return g.begin(key)
	})
	return &Local{
		granter: g,
		talk:    talk,
	}, errors.Wrap(err, "open pool")
}

// awaitConfiguration returns once a configuration is in force.
func (g *Granter) awaitConfiguration(ctx context.Context) error {
	if g.Observer.View().Declaration != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, configurationWait)
	defer cancel()
	look := time.NewTicker(decideInterval)
	defer look.Stop()
	for g.Observer.View().Declaration == nil {
		select {
		case <-ctx.Done():
			return ErrNoConfiguration
		case <-look.C:
		}
	}
	return nil
}

// Send hands the owner a message.
func (l *Local) Send(m *messenger.ToOwner) {
	l.granter.Loop.Post(func() { l.granter.hear(time.Now(), l.talk, m) })
}

// Ready is signalled when the owner may have said something.
func (l *Local) Ready() <-chan struct{} {
	return l.talk.out.Ready()
}

// Take returns what the owner has said.
func (l *Local) Take() []*messenger.FromOwner {
	return l.talk.out.Take()
}

// Close ends the conversation.
func (l *Local) Close() {
	l.granter.Loop.Post(func() { l.granter.end(time.Now(), l.talk) })
}
