package granter_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/budgeter"
	"heatherhold.dev/router/granter"
)

// TestEntryWithoutRetriesRefused guards against a retry that is refused, or granted without
// being charged, although the budget that all entries share has retries left for it alone.
func TestEntryWithoutRetriesRefused(t *testing.T) {
	stream := openWithRetries(t, 0.5)
	m := &messenger.ToOwner{}
	for i := range 4 {
		m.Asks = append(m.Asks, ask(fmt.Sprintf("r%d.1", i), true, false))
	}
	for i := range 3 {
		m.Asks = append(m.Asks, ask(fmt.Sprintf("r%d.2", i), false, true))
	}
	stream.Send(m)
	grants, refusals := awaitDecisions(t, stream, 7)
	retries := 0
	for _, g := range grants {
		if g.GetRetry() {
			retries++
		}
	}
	// Four requests add two retries.
	if retries != 2 || len(refusals) != 1 || !refusals[0].GetRetry() {
		t.Errorf("got %d retries paid for and refusals %v, want 2 and one for want of a retry", retries, refusals)
	}
}

// openWithRetries opens a stream to an owner whose shared budget has the given ratio and no burst.
func openWithRetries(t *testing.T, ratio float64) *granter.LocalStream {
	t.Helper()
	o := newOwner(t)
	o.granter.Retries = budgeter.Limits{
		Ratio:  ratio,
		Window: 10 * time.Second,
	}
	o.configure(1, urgent)
	stream, err := o.granter.Open(t.Context(), granter.Key{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	return stream
}

func ask(request string, first, retry bool) *messenger.Ask {
	return &messenger.Ask{
		Request:      request,
		Rank:         urgent,
		Weight:       1,
		PromptTokens: 10,
		OutputTokens: 10,
		First:        first,
		Retry:        retry,
	}
}

// TestUnusedRetryLost guards against retries of the shared budget that are lost because the
// request that wanted one was cancelled, or gave its ticket back unused, and against one that
// is charged twice because its ask was sent twice.
func TestUnusedRetryLost(t *testing.T) {
	stream := openWithRetries(t, 1)
	stream.Send(&messenger.ToOwner{Asks: []*messenger.Ask{ask("r1.1", true, false)}})
	awaitDecisions(t, stream, 1)
	// One request adds one retry, which is returned each time.
	for i := range 5 {
		request := fmt.Sprintf("r1.%d", i+2)
		stream.Send(&messenger.ToOwner{Asks: []*messenger.Ask{ask(request, false, true), ask(request, false, true)}})
		grants, refusals := awaitDecisions(t, stream, 1)
		if len(grants) == 0 {
			t.Fatalf("retry %d: got refusals %v, want a grant", i, refusals)
		}
		m := &messenger.ToOwner{Cancels: []string{request}}
		if i%2 == 0 {
			m = &messenger.ToOwner{Releases: []*messenger.Release{{
				Request:     request,
				RetryUnused: true,
			}}}
		}
		stream.Send(m)
	}
}
