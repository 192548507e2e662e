package proxier_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
)

// TestLeavingInAnswerIgnored guards against work for an endpoint that says in its answers that
// it is leaving, while its entry does not say so.
func TestLeavingInAnswerIgnored(t *testing.T) {
	for _, streams := range []bool{true, false} {
		serve := reply(http.StatusOK, "Leaving: 1\r\n", "good")
		if streams {
			serve = reply(http.StatusOK, "Leaving: 1\r\nContent-Type: text/event-stream\r\n", "id: 1\n\n")
		}
		a := newEndpoint(t, "a", serve)
		f := newFixture(cataloguer.AtMostOnce, streams, a)
		var mu sync.Mutex
		var leaving []identifier.EndpointIncarnation
		f.proxier.OnLeaving = func(e identifier.EndpointIncarnation) {
			mu.Lock()
			defer mu.Unlock()
			leaving = append(leaving, e)
		}
		if _, _, err := f.serve(t.Context(), time.Second); err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		if len(leaving) != 1 || leaving[0] != a.EndpointIncarnation {
			t.Errorf("streams %v: leaving endpoints: got %v, want %v", streams, leaving, a.EndpointIncarnation)
		}
		mu.Unlock()
	}
}

// TestPausedEndpointAsked guards against requests for an endpoint that has turned one away and
// named a time for which it wants no more.
func TestPausedEndpointAsked(t *testing.T) {
	for _, streams := range []bool{true, false} {
		pausing := newEndpoint(t, "a", reply(http.StatusServiceUnavailable, "Not-Run: 1\r\nPause: 1s\r\nConnection: close\r\n", ""))
		f := newFixture(cataloguer.AtMostOnce, streams, pausing)
		// The pool's owner grants the endpoint although it is to be avoided.
		f.tickets.reuseLast = true
		start := time.Now()
		for time.Since(start) < 600*time.Millisecond {
			_, _, err := f.serve(t.Context(), 200*time.Millisecond)
			if got, want := kindOf(err), classifier.NoChain; got != want && got != classifier.Overloaded {
				t.Fatalf("streams %v: got kind %q (%v), want %q or %q", streams, got, err, want, classifier.Overloaded)
			}
			time.Sleep(20 * time.Millisecond)
		}
		if got, want := len(pausing.runs()), 1; got != want {
			t.Errorf("streams %v: requests at the endpoint in its pause: got %d, want %d", streams, got, want)
		}
		time.Sleep(time.Until(start.Add(1200 * time.Millisecond)))
		_, _, err := f.serve(t.Context(), 200*time.Millisecond)
		if got, want := len(pausing.runs()), 2; got != want {
			t.Errorf("streams %v: requests after the pause: got %d (%v), want %d", streams, got, err, want)
		}
	}
}

// TestOtherEndpointDuringPause guards against requests that are refused while another endpoint
// wants them.
func TestOtherEndpointDuringPause(t *testing.T) {
	for _, streams := range []bool{true, false} {
		good := reply(http.StatusOK, "Connection: close\r\nContent-Type: text/event-stream\r\n", "id: 1\n\n")
		pausing := newEndpoint(t, "a", reply(http.StatusServiceUnavailable, "Not-Run: 1\r\nPause: 5s\r\nConnection: close\r\n", ""))
		f := newFixture(cataloguer.AtMostOnce, streams, pausing, newEndpoint(t, "b", func(after int, w io.Writer) { good(after, w) }))
		for range 10 {
			if _, _, err := f.serve(context.Background(), time.Second); err != nil {
				t.Errorf("streams %v: got %v, want the other endpoint's answer", streams, err)
			}
		}
		if got, most := len(pausing.runs()), 1; got > most {
			t.Errorf("streams %v: requests at the endpoint in its pause: got %d, want %d at most", streams, got, most)
		}
	}
}

// TestRecordsOfGoneEndpointsKept guards against records of endpoints that grow with each
// incarnation that was ever listed.
func TestRecordsOfGoneEndpointsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cataloguer.AtMostOnce, false)
		gone := identifier.EndpointIncarnation{Endpoint: "gone"}
		f.proxier.Balancer.Pause(gone, time.Now().Add(time.Hour))
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
		defer cancel()
		if err := f.proxier.Watch(ctx); err != nil {
			t.Fatal(err)
		}
		if got := f.proxier.Balancer.Paused(time.Now()); len(got) > 0 {
			t.Errorf("records of endpoints that are gone: got %v, want none", got)
		}
	})
}
