package granter_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/granter"
)

// scriptedStream is an entry's stream that receives what a test sends to it.
type scriptedStream struct {
	ctx      context.Context
	received chan *messenger.ToOwner
}

func (s *scriptedStream) Context() context.Context { return s.ctx }

func (s *scriptedStream) Send(*messenger.FromOwner) error { return nil }

func (s *scriptedStream) Recv() (*messenger.ToOwner, error) {
	select {
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	case m := <-s.received:
		return m, nil
	}
}

// TestOwnerDecidesForEachMessage guards against an owner that makes a round of
// decisions for each message: with many entries its rounds then use up its processor
// time. The messages of one moment are decided on together, and heartbeats are not.
func TestOwnerDecidesForEachMessage(t *testing.T) {
	o := newOwner(t)
	var rounds atomic.Int64
	if err := o.granter.Loop.Do(t.Context(), func() {
		o.granter.OnRound = func(identifier.Service, time.Duration, int) { rounds.Add(1) }
	}); err != nil {
		t.Fatal(err)
	}
	o.configure(7, urgent)
	ctx, cancel := context.WithCancel(t.Context())
	s := &scriptedStream{
		ctx:      ctx,
		received: make(chan *messenger.ToOwner),
	}
	var group errgroup.Group
	group.Go(func() error { return o.granter.Serve(s) })
	start := time.Now()
	const messages = 2000
	for i := range messages {
		m := &messenger.ToOwner{Pool: string(service)}
		if i%2 == 0 {
			m.Releases = []*messenger.Release{{Request: fmt.Sprintf("r%d", i)}}
		}
		s.received <- m
	}
	if err := o.granter.Loop.Do(t.Context(), func() {}); err != nil {
		t.Fatal(err)
	}
	elapsed := time.Since(start)
	cancel()
	if err := group.Wait(); err == nil {
		t.Error("the stream ended without an error")
	}
	// Rounds are at least two milliseconds apart, or start at a tick of ten.
	want := int64(elapsed/(2*time.Millisecond)+elapsed/(10*time.Millisecond)) + 2
	if got := rounds.Load(); got > want {
		t.Errorf("got %d rounds for %d messages in %v, want %d at most", got, messages, elapsed, want)
	}
}

var _ granter.Stream = (*scriptedStream)(nil)
