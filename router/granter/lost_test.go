package granter_test

import (
	"context"
	"testing"
	"time"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/granter"
)

// openAndAskSame opens a stream and asks for a ticket for the same request each
// time.
func (o *owner) openAndAskSame(t *testing.T) *granter.LocalStream {
	t.Helper()
	stream, err := o.granter.Open(t.Context(), granter.Key{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	stream.Send(&messenger.ToOwner{
		Pool: string(service),
		Asks: []*messenger.Ask{{
			Request:      "r1.1",
			Customer:     "council",
			Rank:         urgent,
			Weight:       1,
			PromptTokens: 10,
			OutputTokens: 10,
		}},
	})
	return stream
}

// awaitMessage waits until the owner has sent a message, which stays unread.
func awaitMessage(t *testing.T, stream *granter.LocalStream) {
	t.Helper()
	select {
	case <-stream.Ready():
	case <-time.After(timeout):
		t.Fatalf("got no message from the owner in %v, want a grant", timeout)
	}
}

// TestGrantLostWithStream guards against an entry that waits forever for a ticket
// whose grant was lost when its stream ended.
func TestGrantLostWithStream(t *testing.T) {
	for name, oldEndsFirst := range map[string]bool{"old stream ends first": true, "new stream begins first": false} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t)
			o.configure(7, urgent)
			old := o.openAndAskSame(t)
			awaitMessage(t, old)
			if oldEndsFirst {
				old.Close()
			}
			stream := o.openAndAskSame(t)
			t.Cleanup(stream.Close)
			if !oldEndsFirst {
				old.Close()
			}
			grants, refusals := awaitDecisions(t, stream, 1)
			if len(grants) != 1 {
				t.Errorf("got %d grants and %d refusals, want 1 grant", len(grants), len(refusals))
			}
		})
	}
}

// TestReclaimedTicketExpires guards against a ticket that expires after its lease
// although its entry has reconnected and asked for it again.
func TestReclaimedTicketExpires(t *testing.T) {
	o := newOwner(t)
	o.granter.Lease = 50 * time.Millisecond
	o.configure(7, urgent)
	old := o.openAndAskSame(t)
	awaitMessage(t, old)
	old.Close()
	stream := o.openAndAskSame(t)
	t.Cleanup(stream.Close)
	awaitDecisions(t, stream, 1)
	time.Sleep(4 * o.granter.Lease)
	loads, err := o.granter.Loads(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := loads[granter.Key{Service: service}].Running, 1; got != want {
		t.Errorf("tickets in use: got %d, want %d", got, want)
	}
}

// TestFailed requires that the owner names the endpoint that broke a stream, and that an
// instance that doesn't own the pool names none.
func TestFailed(t *testing.T) {
	o := newOwner(t)
	o.configure(7, urgent)
	failed, err := o.granter.Failed(t.Context(), service)
	if err != nil {
		t.Fatal(err)
	}
	if len(failed) != 0 {
		t.Errorf("without a pool: got %v, want none", failed)
	}
	stream := o.openAndAskSame(t)
	t.Cleanup(stream.Close)
	awaitDecisions(t, stream, 1)
	broken := endpoint().EndpointIncarnation
	stream.Send(&messenger.ToOwner{
		Pool: string(service),
		Releases: []*messenger.Release{{
			Request:           "r1.1",
			Failed:            string(broken.Endpoint),
			FailedIncarnation: uint64(broken.Incarnation),
		}},
	})
	failed, err = o.granter.Failed(t.Context(), service)
	if err != nil {
		t.Fatal(err)
	}
	if len(failed) != 1 || !failed[broken] {
		t.Errorf("after a stream broke: got %v, want %v", failed, broken)
	}
}
