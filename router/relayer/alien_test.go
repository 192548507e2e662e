package relayer_test

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

// unsigned answers as one does that is not the endpoint which the request is for.
func unsigned(status int) func(int, io.Writer) {
	return func(_ int, w io.Writer) {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: r1\r\nContent-Length: 3\r\n\r\nbad", status)
	}
}

// TestUnsignedAnswerPassedOn guards against a caller that takes the blame, or a
// success, from an answer that bears no endpoint's signature.
func TestUnsignedAnswerPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusNotFound} {
		for _, streams := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d, streams %v", status, streams), func(t *testing.T) {
				b := newBed(cataloguer.AtMostOnce, streams, newEndpoint(t, "a", unsigned(status)))
				w, started, err := b.serve(context.Background(), 2*time.Second)
				if got, want := kindOf(err), classifier.OutcomeUnknown; started || got != want {
					t.Errorf("got kind %q, started %v, status %d, want %q and nothing started", got, started, w.Code, want)
				}
			})
		}
	}
}

// TestUnsignedAnswerEndsRepeatable guards against a request that ends with an
// answer without a signature although it may go to another endpoint.
func TestUnsignedAnswerEndsRepeatable(t *testing.T) {
	good := newEndpoint(t, "b", events(3, true))
	bad := newEndpoint(t, "a", unsigned(http.StatusBadRequest))
	b := newBed(cataloguer.Resumable, true, bad, good)
	w, _, err := b.serve(context.Background(), 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := ids(w.Body.String()), "1 2 3"; w.Code != http.StatusOK || got != want {
		t.Errorf("got status %d and events %q, want 200 and %q", w.Code, got, want)
	}
	if got, want := len(bad.ran())+len(good.ran()), 2; got != want {
		t.Errorf("sends: got %d (%v), want %d", got, slices.Concat(bad.ran(), good.ran()), want)
	}
}
