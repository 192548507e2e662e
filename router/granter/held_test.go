package granter_test

import (
	"testing"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/granter"
)

// TestHeldTicketWithoutChain guards against an owner that panics when an instance reports a ticket
// without a chain. FuzzToOwner found it.
func TestHeldTicketWithoutChain(t *testing.T) {
	o := newOwner(t)
	o.configure(7, urgent)
	stream, err := o.granter.Open(t.Context(), granter.Key{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	stream.Send(&messenger.ToOwner{Held: []*messenger.Held{{Ask: &messenger.Ask{Request: "r1"}}, {}}})
	checkGranted(t, o.openAndAsk(t, askCount))
}
