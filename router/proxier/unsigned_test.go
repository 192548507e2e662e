package proxier_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
)

// replyUnsigned returns a serve function that responds like a server other than the
// endpoint that the request is for.
func replyUnsigned(status int) func(int, io.Writer) {
	return func(_ int, w io.Writer) {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: r1\r\nContent-Length: 3\r\n\r\nbad", status)
	}
}

// TestUnsignedResponseNotForwarded guards against a caller that receives a success,
// a client error or the promise that its request has not run from a response without an
// endpoint's signature.
func TestUnsignedResponseNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, streams := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d, streams %v", status, streams), func(t *testing.T) {
				f := newFixture(cataloguer.AtMostOnce, streams, newEndpoint(t, "a", replyUnsigned(status)))
				w, started, err := f.serve(context.Background(), 2*time.Second)
				if got, want := kindOf(err), classifier.OutcomeUnknown; started || got != want {
					t.Errorf("got kind %q, started %v, status %d, want kind %q and no response started", got, started, w.Code, want)
				}
			})
		}
	}
}

// TestUnsignedResponseRetried guards against a request that ends with an unsigned
// response although it may be retried on another endpoint.
func TestUnsignedResponseRetried(t *testing.T) {
	good := newEndpoint(t, "b", streamEvents(3, true))
	bad := newEndpoint(t, "a", replyUnsigned(http.StatusBadRequest))
	f := newFixture(cataloguer.Resumable, true, bad, good)
	w, _, err := f.serve(context.Background(), 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := ids(w.Body.String()), "1 2 3"; w.Code != http.StatusOK || got != want {
		t.Errorf("got status %d and events %q, want 200 and %q", w.Code, got, want)
	}
	if got, want := len(bad.runs())+len(good.runs()), 2; got != want {
		t.Errorf("sends: got %d (%v), want %d", got, slices.Concat(bad.runs(), good.runs()), want)
	}
}
