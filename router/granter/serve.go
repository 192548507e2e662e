package granter

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/scheduler"
)

// ErrInactive means that the other end of a stream has sent no message within the
// time limit.
var ErrInactive = errors.New("no message received within the time limit")

// ErrNoConfiguration means that the instance has no configuration to schedule by.
var ErrNoConfiguration = errors.New("no configuration is in force yet")

// configurationWait is how long an entry's stream waits for an owner that has no
// configuration yet. After that, the entry should schedule alone.
const configurationWait = 200 * time.Millisecond

// Stream is the owner's end of a drpc stream with an entry.
type Stream interface {
	Context() context.Context
	Send(*messenger.FromOwner) error
	Recv() (*messenger.ToOwner, error)
}

func sortReports(reports []scheduler.Report) []scheduler.Report {
	slices.SortFunc(reports, func(a, b scheduler.Report) int {
		return cmp.Or(
			strings.Compare(string(a.Endpoint), string(b.Endpoint)),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return reports
}

// Serve serves one entry's stream until it ends or no message, not even an empty
// one, arrives for the length of a lease.
func (g *Granter) Serve(s Stream) error {
	first, err := s.Recv()
	if err != nil {
		return errors.Wrap(err, "receive first message")
	}
	local, err := g.Open(s.Context(), Key{Service: identifier.Service(first.GetPool())})
	if err != nil {
		return err
	}
	defer local.Close()
	local.Send(first)
	group, ctx := errgroup.WithContext(s.Context())
	received := make(chan struct{}, 1)
	group.Go(func() error { return receive(s, local, received) })
	group.Go(func() error { return send(ctx, s, local) })
	group.Go(func() error { return AwaitInactivity(ctx, received, g.Lease) })
	// drpc unblocks the receiver only when this call returns, so Serve must return
	// at the first error without waiting for the receiver.
	<-ctx.Done()
	return context.Cause(ctx)
}

func receive(s Stream, local *LocalStream, received chan<- struct{}) error {
	for {
		m, err := s.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		select {
		case received <- struct{}{}:
		default:
		}
		if isHeartbeat(m) {
			continue
		}
		local.Send(m)
	}
}

// isHeartbeat reports whether m contains nothing that the owner has to handle.
func isHeartbeat(m *messenger.ToOwner) bool {
	return len(m.GetAsks())+len(m.GetCancels())+len(m.GetReleases())+len(m.GetHeld())+len(m.GetLimits())+len(m.GetDepartures()) == 0
}

// heartbeatsPerLease is how many heartbeats are sent per lease while there is
// nothing else to send. A message replaces the next heartbeat, so that there are at
// least half as many messages per lease.
const heartbeatsPerLease = 4

func send(ctx context.Context, s Stream, local *LocalStream) error {
	heartbeat := time.NewTicker(local.granter.Lease / heartbeatsPerLease)
	defer heartbeat.Stop()
	sent := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-local.Ready():
			sent = true
		case <-heartbeat.C:
			if sent {
				// A message since the last heartbeat makes this one unnecessary.
				sent = false
				continue
			}
			if err := s.Send(&messenger.FromOwner{}); err != nil {
				return errors.Wrap(err, "send heartbeat")
			}
		}
		for _, m := range local.Receive() {
			if err := s.Send(m); err != nil {
				return errors.Wrap(err, "send")
			}
		}
	}
}

// AwaitInactivity returns ErrInactive once received has not been signalled for the
// time limit, or the error of ctx if ctx ends first.
func AwaitInactivity(ctx context.Context, received <-chan struct{}, limit time.Duration) error {
	t := time.NewTimer(limit)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-received:
			t.Reset(limit)
		case <-t.C:
			return ErrInactive
		}
	}
}

// LocalStream is an entry's stream to a pool of the same process.
type LocalStream struct {
	granter *Granter
	// session is set on the control loop, before Open returns the stream.
	session *Session
}

// Open opens a stream to a pool. An instance that has just started makes no
// decision before it has a configuration: Open waits a short time for it and
// returns ErrNoConfiguration if there is still none.
func (g *Granter) Open(ctx context.Context, key Key) (*LocalStream, error) {
	if err := g.awaitConfiguration(ctx); err != nil {
		return nil, err
	}
	l := &LocalStream{granter: g}
	if err := g.Loop.Do(ctx, func() { l.session = g.openSession(key) }); err != nil {
		// The session may be open, or still be opened before the loop closes it.
		l.Close()
		return nil, errors.Wrap(err, "open pool")
	}
	return l, nil
}

// awaitConfiguration waits until a configuration is in force. It returns
// ErrNoConfiguration after configurationWait or if ctx ends.
func (g *Granter) awaitConfiguration(ctx context.Context) error {
	if g.Publisher.View().Declaration != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, configurationWait)
	defer cancel()
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for g.Publisher.View().Declaration == nil {
		select {
		case <-ctx.Done():
			return ErrNoConfiguration
		case <-ticker.C:
		}
	}
	return nil
}

// Send sends a message to the owner.
func (l *LocalStream) Send(m *messenger.ToOwner) {
	l.granter.Loop.Post(func() { l.granter.handleMessage(time.Now(), l.session, m) })
}

// Ready is signalled when there may be messages to receive.
func (l *LocalStream) Ready() <-chan struct{} {
	return l.session.out.Ready()
}

// Receive returns the owner's messages since the last call. It does not block.
func (l *LocalStream) Receive() []*messenger.FromOwner {
	return l.session.out.Drain()
}

// Close closes the stream.
func (l *LocalStream) Close() {
	l.granter.Loop.Post(func() { l.granter.closeSession(time.Now(), l.session) })
}
