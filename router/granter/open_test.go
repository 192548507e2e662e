package granter_test

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/granter"
)

// awaitNoPools waits until the owner has no pool left.
func (o *owner) awaitNoPools(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		loads, err := o.granter.Loads(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(loads) == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got %d pools, want 0 without a stream", len(loads))
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCancelledOpenLeaksSession guards against a stream without a session, whose Close
// ends the process, and against a session that stays open for ever, where the entry's
// call is cancelled while the stream is opened.
func TestCancelledOpenLeaksSession(t *testing.T) {
	o := newOwner(t)
	o.configure(7, urgent)
	for range 10000 {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error {
			cancel()
			return nil
		})
		stream, err := o.granter.Open(ctx, granter.Key{Service: service})
		if err == nil {
			stream.Close()
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	o.awaitNoPools(t)
}

// TestGrantAfterClose guards against a ticket that is granted to nobody because its
// ask was handled after the end of the stream.
func TestGrantAfterClose(t *testing.T) {
	o := newOwner(t)
	o.configure(7, urgent)
	stream, err := o.granter.Open(t.Context(), granter.Key{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	stream.Close()
	stream.Send(&messenger.ToOwner{Asks: []*messenger.Ask{{
		Request:      "r1.1",
		Rank:         urgent,
		Weight:       1,
		PromptTokens: 10,
		OutputTokens: 10,
	}}})
	if err := o.granter.Loop.Do(t.Context(), func() {}); err != nil {
		t.Fatal(err)
	}
	o.awaitNoPools(t)
	if got := stream.Receive(); len(got) > 0 {
		t.Errorf("got %d messages after the end of the stream, want none", len(got))
	}
}
