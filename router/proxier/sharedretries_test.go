package proxier_test

import (
	"testing"

	"heatherhold.dev/core/cataloguer"
)

// TestStreamEndsWithUnusedSharedRetries guards against a stream that stays at an endpoint
// that has failed, since its own instance has no retry left, although the pool's owner has
// some for all instances.
func TestStreamEndsWithUnusedSharedRetries(t *testing.T) {
	for _, c := range []struct {
		name string
		// paid is set if the owner pays for retries, as owners of older builds do not.
		paid bool
		want int
	}{
		{name: "owner with retries left", paid: true, want: 1},
		{name: "owner of an older build", want: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			failing := newEndpoint(t, "failing", dropConnection)
			spare := newEndpoint(t, "spare", streamEvents(3, true))
			f := newFixture(cataloguer.Resumable, true, failing, spare)
			f.proxier.Retries.Ratio = 0
			f.proxier.Retries.Burst = 0
			f.proxier.Retries.OwnerShare = 0.5
			f.tickets.payRetries = c.paid
			events, err := serveWatched(t, f)
			if got := len(spare.runs()); got != c.want {
				t.Errorf("got %d runs at the other endpoint, want %d", got, c.want)
			}
			if c.paid {
				requireEvents(t, events, err, "1 2 3")
			}
		})
	}
}
