package granter_test

import (
	"context"
	"testing"
	"time"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/granter"
)

// open begins a conversation and asks for the same ticket each time.
func (o *owner) open(t *testing.T) *granter.Local {
	t.Helper()
	talk, err := o.granter.Open(t.Context(), granter.Key{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	talk.Send(&messenger.ToOwner{
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
	return talk
}

// unread waits until the owner has said something that nobody takes.
func unread(t *testing.T, talk *granter.Local) {
	t.Helper()
	select {
	case <-talk.Ready():
	case <-time.After(patience):
		t.Fatalf("got no word of the owner in %v, want a grant", patience)
	}
}

// TestGrantLostWithConversation guards against an entry that waits for good for
// a ticket whose grant was lost with its conversation.
func TestGrantLostWithConversation(t *testing.T) {
	for name, endsFirst := range map[string]bool{"old one ends first": true, "new one begins first": false} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t)
			o.configure(7, urgent)
			old := o.open(t)
			unread(t, old)
			if endsFirst {
				old.Close()
			}
			talk := o.open(t)
			t.Cleanup(talk.Close)
			if !endsFirst {
				old.Close()
			}
			grants, refusals := answers(t, talk, 1)
			if len(grants) != 1 {
				t.Errorf("got %d grants and %d refusals, want 1 grant", len(grants), len(refusals))
			}
		})
	}
}

// TestTicketFetchedAgainRunsOut guards against a ticket that is given to others
// although its entry came back for it.
func TestTicketFetchedAgainRunsOut(t *testing.T) {
	o := newOwner(t)
	o.granter.Lease = 50 * time.Millisecond
	o.configure(7, urgent)
	old := o.open(t)
	unread(t, old)
	old.Close()
	talk := o.open(t)
	t.Cleanup(talk.Close)
	answers(t, talk, 1)
	time.Sleep(4 * o.granter.Lease)
	loads, err := o.granter.Loads(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := loads[granter.Key{Service: service}].Running, 1; got != want {
		t.Errorf("tickets in use: got %d, want %d", got, want)
	}
}
