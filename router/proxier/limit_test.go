package proxier_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
)

const (
	// namedLimit is the limit that endpoints of the tests name, in requests a second.
	namedLimit = 4.0
	// limitTime is how long requests are sent after the limit was named.
	limitTime = 2 * time.Second
	// maxLimited is how many requests an endpoint that names the limit may get in that
	// time: one and a half times the limit, and five.
	maxLimited = 1.5*namedLimit*2 + 5
)

// newLimitedEndpoint returns an endpoint that names a limit in its answers, and the number
// of requests that it got.
func newLimitedEndpoint(t *testing.T, name string, limit float64) (*endpoint, *atomic.Int64) {
	t.Helper()
	arrivals := &atomic.Int64{}
	e := newEndpoint(t, name, func(after int, w io.Writer) {
		arrivals.Add(1)
		reply(200, fmt.Sprintf("Limit: %g\r\n", limit), "ok")(after, w)
	})
	return e, arrivals
}

// sendFor sends requests one after the other from some callers for limitTime, and returns
// how many were answered.
func sendFor(f *fixture) int64 {
	var served atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(limitTime)
	for range 4 {
		group.Go(func() {
			for time.Now().Before(end) {
				if _, _, err := f.serve(context.Background(), 400*time.Millisecond); err == nil {
					served.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return served.Load()
}

// TestNamedLimitExceeded guards against sending an endpoint of a plain service more
// requests than it says that it takes.
func TestNamedLimitExceeded(t *testing.T) {
	limited, arrivals := newLimitedEndpoint(t, "a", namedLimit)
	other := newEndpoint(t, "b", reply(200, "", "ok"))
	f := newFixture(cataloguer.Idempotent, false, limited, other)
	served := sendFor(f)
	if got := arrivals.Load(); got > maxLimited {
		t.Errorf("got %d requests in %v at an endpoint that takes %g a second, want at most %g", got, limitTime, namedLimit, maxLimited)
	}
	if served < 100 {
		t.Errorf("got %d requests served beside the limit, want at least 100", served)
	}
}

// TestOnlyLimitedEndpoints guards against exceeding the limit where no other endpoint is
// left, and against leaving the endpoint empty.
func TestOnlyLimitedEndpoints(t *testing.T) {
	limited, arrivals := newLimitedEndpoint(t, "a", namedLimit)
	f := newFixture(cataloguer.AtMostOnce, false, limited)
	sendFor(f)
	if got := arrivals.Load(); got > maxLimited || got < int64(namedLimit) {
		t.Errorf("got %d requests in %v at an endpoint that takes %g a second, want %g to %g", got, limitTime, namedLimit, namedLimit, maxLimited)
	}
}
