package proxier_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/declarer"
)

// TestAskWithoutPromise guards against asks that don't carry what the route promises, and
// against a later ask of a request that has as much time left as the first.
func TestAskWithoutPromise(t *testing.T) {
	const delay = 100 * time.Millisecond
	broken := newEndpoint(t, "a", func(after int, w io.Writer) {
		time.Sleep(delay)
		dropConnection(after, w)
	})
	good := newEndpoint(t, "b", reply(http.StatusOK, "Content-Type: text/event-stream\r\n", "id: 1\n\n"))
	f := newFixture(cataloguer.Resumable, true, broken, good)
	job := f.job(2 * time.Second)
	job.Request.OutputHint = 40
	job.Rank = &declarer.Rank{QueueLimit: 5}
	if _, err := f.proxier.Serve(t.Context(), httptest.NewRecorder(), job); err != nil {
		t.Fatal(err)
	}
	if got, want := len(f.tickets.asks), 2; got != want {
		t.Fatalf("asks: got %d, want %d", got, want)
	}
	first, second := f.tickets.asks[0].GetPromise(), f.tickets.asks[1].GetPromise()
	if got, want := first.GetFirstTokenMs(), f.route.Target.Milliseconds(); got > want || got <= 0 {
		t.Errorf("first token: got %d ms, want at most %d and more than 0", got, want)
	}
	// An owner of an older build reads only the terms.
	if got, want := f.tickets.asks[0].GetTerms().GetQueueLimit(), int32(5); got != want {
		t.Errorf("queue limit of the terms: got %d, want %d", got, want)
	}
	if got, want := f.tickets.asks[0].GetOutputHint(), int64(40); got != want {
		t.Errorf("estimate: got %d tokens, want %d", got, want)
	}
	if got, want := second.GetBetweenTokensMs(), f.route.Gap.Milliseconds(); got != want {
		t.Errorf("interval: got %d ms, want %d", got, want)
	}
	if got := first.GetRemainingMs(); got > 2000 || got <= 1000 {
		t.Errorf("remaining: got %d ms, want the time until the deadline", got)
	}
	for name, passed := range map[string]int64{
		"first token": first.GetFirstTokenMs() - second.GetFirstTokenMs(),
		"remaining":   first.GetRemainingMs() - second.GetRemainingMs(),
	} {
		if least := delay.Milliseconds(); passed < least {
			t.Errorf("%s: got %d ms less in the second ask, want at least %d", name, passed, least)
		}
	}
}

// TestRouteWithoutTarget requires that a route that has no target promises nothing: the terms
// of the rank apply.
func TestRouteWithoutTarget(t *testing.T) {
	e := newEndpoint(t, "a", reply(http.StatusOK, "Content-Type: text/event-stream\r\n", "id: 1\n\n"))
	f := newFixture(cataloguer.Resumable, true, e)
	f.route.Target = 0
	if _, _, err := f.serve(t.Context(), 2*time.Second); err != nil {
		t.Fatal(err)
	}
	if got := f.tickets.asks[0].GetPromise(); got != nil {
		t.Errorf("promise: got %v, want none", got)
	}
}
