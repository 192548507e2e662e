package proxier_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/proxier"
)

// TestPlain requires that a request is sent again only if it certainly did not run
// or may run again, and that the response reports correctly whether it ran.
func TestPlain(t *testing.T) {
	notRun := reply(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
	for name, test := range map[string]struct {
		repetition cataloguer.Repetition
		first      func(int, io.Writer)
		status     int
		kind       classifier.Kind
		runs       int
	}{
		"once, lost":            {repetition: cataloguer.AtMostOnce, first: dropConnection, kind: classifier.OutcomeUnknown, runs: 1},
		"once, not run":         {repetition: cataloguer.AtMostOnce, first: notRun, status: http.StatusOK, runs: 2},
		"once, failed":          {repetition: cataloguer.AtMostOnce, first: reply(500, "", "bad"), status: 500, runs: 1},
		"once, cut":             {repetition: cataloguer.AtMostOnce, first: truncate, kind: classifier.OutcomeUnknown, runs: 1},
		"idempotent, lost":      {repetition: cataloguer.Idempotent, first: dropConnection, status: http.StatusOK, runs: 2},
		"idempotent, failed":    {repetition: cataloguer.Idempotent, first: reply(500, "", "bad"), status: http.StatusOK, runs: 2},
		"idempotent, cut":       {repetition: cataloguer.Idempotent, first: truncate, status: http.StatusOK, runs: 2},
		"idempotent, not found": {repetition: cataloguer.Idempotent, first: reply(404, "", "none"), status: 404, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			var mu sync.Mutex
			// Whichever endpoint is picked first responds with test.first.
			serve := func(after int, w io.Writer) {
				mu.Lock()
				calls++
				n := calls
				mu.Unlock()
				if n == 1 {
					test.first(after, w)
					return
				}
				reply(http.StatusOK, "", "good")(after, w)
			}
			f := newFixture(test.repetition, false, newEndpoint(t, "a", serve), newEndpoint(t, "b", serve))
			w, started, err := f.serve(context.Background(), 2*time.Second)
			if kindOf(err) != test.kind || started != (err == nil) {
				t.Errorf("got error %v, started %v, want kind %q", err, started, test.kind)
			}
			if err == nil && w.Code != test.status {
				t.Errorf("got status %d, want %d", w.Code, test.status)
			}
			mu.Lock()
			defer mu.Unlock()
			if calls != test.runs {
				t.Errorf("got %d sends, want %d", calls, test.runs)
			}
		})
	}
}

// truncate closes the connection in the middle of a response.
func truncate(_ int, w io.Writer) {
	fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Length: 100\r\n\r\nhalf")
	w.(net.Conn).Close()
}

// TestNoEndpointReachable requires that a request that reached no endpoint is
// refused as not run.
func TestNoEndpointReachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := &endpoint{Endpoint: cataloguer.Endpoint{
		Service: "s",
		Address: l.Addr().String(),
	}}
	l.Close()
	f := newFixture(cataloguer.AtMostOnce, false, unreachable)
	_, started, err := f.serve(context.Background(), time.Second)
	if got := classifier.ResponseOf(kindOf(err)); started || got.Ran != classifier.RanNo || got.Status != http.StatusServiceUnavailable {
		t.Errorf("got error %v, started %v, want a refusal that reports that the request did not run", err, started)
	}
}

// TestResume requires that a broken stream resumes on another chain after the last
// complete event, and that its caller sees no missing or repeated events.
func TestResume(t *testing.T) {
	first := newEndpoint(t, "a", streamEvents(3, false))
	second := newEndpoint(t, "b", streamEvents(6, true))
	f := newFixture(cataloguer.Resumable, true, first, second)
	w, _, err := f.serve(context.Background(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := ids(w.Body.String()), "1 2 3 4 5 6"; got != want {
		t.Errorf("got events %s, want %s", got, want)
	}
	if got, want := second.runs(), []string{"3"}; !slices.Equal(got, want) {
		t.Errorf("the second run resumed after %v, want %v", got, want)
	}
}

// TestResumeWaitsForChain requires that a stream of which the caller has received
// a part is not aborted before its deadline, although every chain refuses it at
// first.
func TestResumeWaitsForChain(t *testing.T) {
	first := newEndpoint(t, "a", streamEvents(3, false))
	refusals := 0
	var mu sync.Mutex
	second := newEndpoint(t, "b", func(after int, w io.Writer) {
		mu.Lock()
		defer mu.Unlock()
		refusals++
		if refusals <= 1 {
			reply(http.StatusServiceUnavailable, "Not-Run: 1\r\nAt-Fault: other\r\nConnection: close\r\n", "")(after, w)
			w.(net.Conn).Close()
			return
		}
		streamEvents(5, true)(after, w)
	})
	f := newFixture(cataloguer.Resumable, true, first, second)
	f.tickets.reuseLast = true
	// All retries but one are added to the budget only while the stream waits.
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(time.Second)
		for range 20 {
			f.proxier.Serve(context.Background(), httptest.NewRecorder(), proxier.Job{
				Request:  &courier.Request{ID: "r2"},
				Route:    &f.route,
				Service:  "s",
				Engine:   f.engine,
				Deadline: time.Now(),
			})
		}
		return nil
	})
	defer group.Wait()
	w, _, err := f.serve(context.Background(), 20*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := ids(w.Body.String()), "1 2 3 4 5"; got != want {
		t.Errorf("got events %s, want %s", got, want)
	}
}

// TestEmptyStreamUntilClose guards against taking a stream whose endpoint ended before the
// first event, and that has neither a length nor chunks, for a complete one.
func TestEmptyStreamUntilClose(t *testing.T) {
	first := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n")
		w.(net.Conn).Close()
	})
	second := newEndpoint(t, "b", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n")
		fmt.Fprint(w, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
		w.(net.Conn).Close()
	})
	f := newFixture(cataloguer.Resumable, true, first, second)
	w, _, err := f.serve(context.Background(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := ids(w.Body.String()), "1 2"; got != want {
		t.Errorf("got events %q, want %q", got, want)
	}
}

// TestNotResumable requires that a stream that must run at most once is not run
// again, and that the part that its caller received does not look complete.
func TestNotResumable(t *testing.T) {
	first := newEndpoint(t, "a", streamEvents(3, false))
	second := newEndpoint(t, "b", streamEvents(6, true))
	f := newFixture(cataloguer.AtMostOnce, true, first, second)
	_, started, err := f.serve(context.Background(), 5*time.Second)
	if err == nil || !started {
		t.Errorf("got error %v, started %v, want an error after the start", err, started)
	}
	if got := len(second.runs()); got != 0 {
		t.Errorf("got %d further runs, want none", got)
	}
}

// TestInconsistentRuns requires that the caller receives neither repeated events
// nor a gap if the resumed run repeats or omits events.
func TestInconsistentRuns(t *testing.T) {
	sendIDs := func(list ...int) func(int, io.Writer) {
		return func(_ int, w io.Writer) {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
			for _, i := range list {
				writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
			}
			fmt.Fprint(w, "0\r\n\r\n")
		}
	}
	for name, test := range map[string]struct {
		second   func(int, io.Writer)
		want     string
		complete bool
	}{
		"repeats": {second: sendIDs(1, 2, 3, 4, 5), want: "1 2 3 4 5", complete: true},
		"gap":     {second: sendIDs(5, 6), want: "1 2 3"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(cataloguer.Resumable, true, newEndpoint(t, "a", streamEvents(3, false)), newEndpoint(t, "b", test.second))
			w, _, err := f.serve(context.Background(), 5*time.Second)
			if (err == nil) != test.complete {
				t.Errorf("got error %v, want complete %v", err, test.complete)
			}
			if got := ids(w.Body.String()); got != test.want {
				t.Errorf("got events %s, want %s", got, test.want)
			}
		})
	}
}

// TestCallerGone requires that the connection to the endpoint is closed when the
// caller disconnects.
func TestCallerGone(t *testing.T) {
	e := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		writeChunk(w, "id: 1\ndata: 1\n\n")
	})
	f := newFixture(cataloguer.Resumable, true, e)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, cancel)
	if _, _, err := f.serve(ctx, 5*time.Second); kindOf(err) != classifier.Cancelled {
		t.Errorf("got error %v, want kind %q", err, classifier.Cancelled)
	}
	select {
	case <-e.closed:
	case <-time.After(400 * time.Millisecond):
		t.Error("the endpoint's connection is still open 0.4 s after the caller disconnected")
	}
}

// TestDeadline requires that a request that reaches its deadline gets its response
// at that time, without a claim that it did not run.
func TestDeadline(t *testing.T) {
	e := newEndpoint(t, "a", func(int, io.Writer) {})
	f := newFixture(cataloguer.Resumable, true, e)
	start := time.Now()
	_, _, err := f.serve(context.Background(), 300*time.Millisecond)
	if got := classifier.ResponseOf(kindOf(err)); got.Status != http.StatusGatewayTimeout {
		t.Errorf("got error %v, want status %d", err, http.StatusGatewayTimeout)
	}
	if got := time.Since(start); got > 800*time.Millisecond {
		t.Errorf("got the response after %v, want it at the deadline", got)
	}
}

// TestUnresponsiveStage requires that a stream through a stage that no longer
// responds is rerouted over a chain without it, with the same first stage, and that
// it continues in the same run.
func TestUnresponsiveStage(t *testing.T) {
	repathed := make(chan struct{})
	first := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		writeChunk(w, "id: 1\ndata: 1\n\n")
		<-repathed
		writeChunk(w, "id: 2\ndata: 2\n\n")
		fmt.Fprint(w, "0\r\n\r\n")
	})
	unresponsive := newEndpoint(t, "dead", dropConnection)
	spare := newEndpoint(t, "spare", dropConnection)
	f := newFixture(cataloguer.Resumable, true)
	f.tickets.chains = [][]identifier.Stage{
		{stage(first, 0, 2), stage(unresponsive, 2, 4)},
		{stage(first, 0, 2), stage(spare, 2, 4)},
	}
	f.orders.unresponsive = unresponsive.Address
	f.orders.onRepath = func() { close(repathed) }
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.proxier.Watch(ctx) })
	start := time.Now()
	w, _, err := f.serve(context.Background(), 5*time.Second)
	cancel()
	group.Wait()
	if err != nil {
		t.Fatal(err)
	}
	if got, want := ids(w.Body.String()), "1 2"; got != want {
		t.Errorf("got events %s, want %s", got, want)
	}
	if got := f.orders.repathed; len(got) != 2 || got[1].Endpoint != "spare" {
		t.Errorf("got chain %v, want the spare endpoint in place of the unresponsive one", got)
	}
	if got := len(first.runs()); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
	if got, want := time.Since(start), f.route.Gap; got > want {
		t.Errorf("the stream ended after %v, want a pause within the limit, %v", got, want)
	}
}

// TestRetryBudget requires that the retries of instances that start together,
// before they have discovered each other, stay within the shared retry budget.
func TestRetryBudget(t *testing.T) {
	e := newEndpoint(t, "a", dropConnection)
	other := newEndpoint(t, "b", dropConnection)
	const requests, instances = 100, 5
	for range instances {
		f := newFixture(cataloguer.Idempotent, false, e, other)
		f.proxier.Retries.Burst = 40
		for range requests {
			f.serve(context.Background(), time.Second)
		}
	}
	got := len(e.runs()) + len(other.runs()) - requests*instances
	if want := int(0.2*requests*instances) + 40; got > want {
		t.Errorf("got %d retries for %d requests, want at most %d", got, requests*instances, want)
	}
}

// TestRetryWindow requires of a single instance that the burst is allowed again in
// each window, and that no window exceeds it.
func TestRetryWindow(t *testing.T) {
	e := newEndpoint(t, "a", dropConnection)
	other := newEndpoint(t, "b", dropConnection)
	f := newFixture(cataloguer.Idempotent, false, e, other)
	f.proxier.Retries = proxier.Retries{
		Burst:  50,
		Window: time.Second,
	}
	const windows = 5
	start := time.Now()
	counts := make([]int, 2*windows)
	for time.Since(start) < windows*time.Second {
		before := len(e.runs()) + len(other.runs())
		f.serve(context.Background(), time.Second)
		half := int(time.Since(start) / (time.Second / 2))
		if half < len(counts) {
			counts[half] += len(e.runs()) + len(other.runs()) - before - 1
		}
		time.Sleep(2 * time.Millisecond)
	}
	for i := range len(counts) - 1 {
		if got := counts[i] + counts[i+1]; got > 50 {
			t.Errorf("got %d retries in a second, want at most 50", got)
		}
	}
	if got := counts[len(counts)-3] + counts[len(counts)-2]; got < 20 {
		t.Errorf("got %d retries in a late window, want 20 or more", got)
	}
}

// TestSlowStage requires that the streams through a slow stage are rerouted,
// although none of them stops permanently and the stage responds to probes.
func TestSlowStage(t *testing.T) {
	repathed := make(chan struct{})
	var once sync.Once
	first := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := 1; i <= 20; i++ {
			writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
			select {
			case <-repathed:
			case <-time.After(180 * time.Millisecond):
			}
		}
		fmt.Fprint(w, "0\r\n\r\n")
	})
	slow := newEndpoint(t, "slow", dropConnection)
	spare := newEndpoint(t, "spare", dropConnection)
	f := newFixture(cataloguer.Resumable, true)
	f.tickets.chains = [][]identifier.Stage{
		{stage(first, 0, 2), stage(slow, 2, 4)},
		{stage(first, 0, 2), stage(spare, 2, 4)},
	}
	f.orders.slow = slow.Address
	f.orders.onRepath = func() { once.Do(func() { close(repathed) }) }
	ctx, cancel := context.WithCancel(context.Background())
	var watching, streams errgroup.Group
	watching.Go(func() error { return f.proxier.Watch(ctx) })
	start := time.Now()
	for range 4 {
		streams.Go(func() error {
			_, _, err := f.serve(context.Background(), 5*time.Second)
			return err
		})
	}
	err := streams.Wait()
	cancel()
	watching.Wait()
	if err != nil {
		t.Fatal(err)
	}
	if got := f.orders.repathed; len(got) != 2 || got[1].Endpoint != "spare" {
		t.Errorf("got chain %v, want the spare endpoint in place of the slow one", got)
	}
	if got, want := time.Since(start), 2*time.Second; got > want {
		t.Errorf("the streams took %v, want them rerouted well before %v", got, want)
	}
}
