package acquirer_test

import (
	"context"
	"io"
	"testing"
	"time"

	"heatherhold.dev/core/messenger"
)

// breakingOwner is an owner that ends each stream a while after it has got an ask.
type breakingOwner struct {
	messenger.DRPCPeerUnimplementedServer
	delay time.Duration
	asks  chan *messenger.Ask
}

// Tickets receives until there is an ask, and ends the stream after the delay.
func (b *breakingOwner) Tickets(s messenger.DRPCPeer_TicketsStream) error {
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		for _, a := range m.GetAsks() {
			b.asks <- a
			time.Sleep(b.delay)
			return io.ErrUnexpectedEOF
		}
	}
}

// TestAskSentAgainPromisesAnew guards against an ask that, sent again to an owner, has as much
// time left as when it was first sent, and against an ask without a promise that gets one.
func TestAskSentAgainPromisesAnew(t *testing.T) {
	for name, promise := range map[string]*messenger.Promise{
		"promise": {
			FirstTokenMs:    100,
			BetweenTokensMs: 250,
			RemainingMs:     20_000,
		},
		"none": nil,
	} {
		t.Run(name, func(t *testing.T) {
			owner := &breakingOwner{
				delay: 200 * time.Millisecond,
				asks:  make(chan *messenger.Ask, 10),
			}
			a := newEntry(t, serveOwner(t, owner))
			ask := &messenger.Ask{
				Request: "r1.1",
				Promise: promise,
			}
			run(t, func(ctx context.Context) error {
				// The request ends with the test.
				_, _ = a.Acquire(ctx, "drafts", ask)
				return nil
			})
			first, second := <-owner.asks, <-owner.asks
			if promise == nil {
				if first.GetPromise() != nil || second.GetPromise() != nil {
					t.Errorf("got promises %v and %v, want none", first.GetPromise(), second.GetPromise())
				}
				return
			}
			passed := first.GetPromise().GetRemainingMs() - second.GetPromise().GetRemainingMs()
			if least := owner.delay.Milliseconds(); passed < least {
				t.Errorf("remaining time: got %d ms less the second time, want at least %d", passed, least)
			}
			if got, want := first.GetPromise().GetFirstTokenMs()-second.GetPromise().GetFirstTokenMs(), passed; got != want {
				t.Errorf("first token: got %d ms less the second time, want %d", got, want)
			}
			if got := second.GetPromise().GetFirstTokenMs(); got >= 0 {
				t.Errorf("first token: got %d ms, want it past due", got)
			}
			if got, want := second.GetPromise().GetBetweenTokensMs(), int64(250); got != want {
				t.Errorf("interval: got %d, want %d", got, want)
			}
		})
	}
}

// TestRequestCountedTwice guards against a request that counts as a new one at its owner each
// time that it is sent again, which raises the retries that all instances may make.
func TestRequestCountedTwice(t *testing.T) {
	owner := &breakingOwner{asks: make(chan *messenger.Ask, 10)}
	a := newEntry(t, serveOwner(t, owner))
	run(t, func(ctx context.Context) error {
		// The request ends with the test.
		_, _ = a.Acquire(ctx, "drafts", &messenger.Ask{
			Request: "r1.1",
			First:   true,
		})
		return nil
	})
	first, second, third := <-owner.asks, <-owner.asks, <-owner.asks
	if !first.GetFirst() || second.GetFirst() || third.GetFirst() {
		t.Errorf("new request: got %v, %v and %v, want true, false and false", first.GetFirst(), second.GetFirst(), third.GetFirst())
	}
}
