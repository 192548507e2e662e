package relayer_test

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
	"heatherhold.dev/router/relayer"
)

// TestPlain requires that only what surely did not run, or may run again, is
// sent again, and that the answer says the truth of it.
func TestPlain(t *testing.T) {
	notRun := reply(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
	for name, test := range map[string]struct {
		repetition cataloguer.Repetition
		first      func(int, io.Writer)
		status     int
		kind       classifier.Kind
		runs       int
	}{
		"once, lost":            {repetition: cataloguer.AtMostOnce, first: lose, kind: classifier.OutcomeUnknown, runs: 1},
		"once, not run":         {repetition: cataloguer.AtMostOnce, first: notRun, status: http.StatusOK, runs: 2},
		"once, failed":          {repetition: cataloguer.AtMostOnce, first: reply(500, "", "bad"), status: 500, runs: 1},
		"once, cut":             {repetition: cataloguer.AtMostOnce, first: cut, kind: classifier.OutcomeUnknown, runs: 1},
		"idempotent, lost":      {repetition: cataloguer.Idempotent, first: lose, status: http.StatusOK, runs: 2},
		"idempotent, failed":    {repetition: cataloguer.Idempotent, first: reply(500, "", "bad"), status: http.StatusOK, runs: 2},
		"idempotent, cut":       {repetition: cataloguer.Idempotent, first: cut, status: http.StatusOK, runs: 2},
		"idempotent, not found": {repetition: cataloguer.Idempotent, first: reply(404, "", "none"), status: 404, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			var mu sync.Mutex
			// Whichever endpoint is picked first answers as the case wants.
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
			b := newBed(test.repetition, false, newEndpoint(t, "a", serve), newEndpoint(t, "b", serve))
			w, started, err := b.serve(context.Background(), 2*time.Second)
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

// cut breaks off in the middle of an answer.
func cut(_ int, w io.Writer) {
	fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Length: 100\r\n\r\nhalf")
	w.(net.Conn).Close()
}

// TestNobodyThere requires that a request that reached nobody is refused as not run.
func TestNobodyThere(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := &endpoint{Endpoint: cataloguer.Endpoint{
		Service: "s",
		Address: l.Addr().String(),
	}}
	l.Close()
	b := newBed(cataloguer.AtMostOnce, false, gone)
	_, started, err := b.serve(context.Background(), time.Second)
	if got := classifier.AnswerOf(kindOf(err)); started || got.Ran != classifier.RanNo || got.Status != http.StatusServiceUnavailable {
		t.Errorf("got error %v, started %v, want a refusal that says that nothing ran", err, started)
	}
}

// TestResume requires that a stream that breaks off goes on at another chain
// after the last whole event, and its caller sees neither gap nor repeat.
func TestResume(t *testing.T) {
	first := newEndpoint(t, "a", events(3, false))
	second := newEndpoint(t, "b", events(6, true))
	b := newBed(cataloguer.Resumable, true, first, second)
	w, _, err := b.serve(context.Background(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := ids(w.Body.String()), "1 2 3 4 5 6"; got != want {
		t.Errorf("got events %s, want %s", got, want)
	}
	if got, want := second.ran(), []string{"3"}; !slices.Equal(got, want) {
		t.Errorf("the second run went on after %v, want %v", got, want)
	}
}

// TestKeptOn requires that a stream whose caller holds a part of it is not cut
// off while there is time, although every chain refuses it at first.
func TestKeptOn(t *testing.T) {
	first := newEndpoint(t, "a", events(3, false))
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
		events(5, true)(after, w)
	})
	b := newBed(cataloguer.Resumable, true, first, second)
	b.tickets.lenient = true
	// All retries but one are earned only while the stream waits.
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(time.Second)
		for range 20 {
			b.relayer.Serve(context.Background(), httptest.NewRecorder(), relayer.Job{
				Request:  &courier.Request{ID: "r2"},
				Route:    &b.route,
				Service:  "s",
				Engine:   b.engine,
				Deadline: time.Now(),
			})
		}
		return nil
	})
	defer group.Wait()
	w, _, err := b.serve(context.Background(), 20*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := ids(w.Body.String()), "1 2 3 4 5"; got != want {
		t.Errorf("got events %s, want %s", got, want)
	}
}

// TestNotResumable requires that a stream that must run at most once is not run
// again, and that what its caller holds does not look whole.
func TestNotResumable(t *testing.T) {
	first := newEndpoint(t, "a", events(3, false))
	second := newEndpoint(t, "b", events(6, true))
	b := newBed(cataloguer.AtMostOnce, true, first, second)
	_, started, err := b.serve(context.Background(), 5*time.Second)
	if err == nil || !started {
		t.Errorf("got error %v, started %v, want an error after the start", err, started)
	}
	if got := len(second.ran()); got != 0 {
		t.Errorf("got %d further runs, want none", got)
	}
}

// TestSpoiledRuns requires that a run whose events repeat, or leave some out,
// does no harm.
func TestSpoiledRuns(t *testing.T) {
	spoil := func(list ...int) func(int, io.Writer) {
		return func(_ int, w io.Writer) {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
			for _, i := range list {
				chunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
			}
			fmt.Fprint(w, "0\r\n\r\n")
		}
	}
	for name, test := range map[string]struct {
		second func(int, io.Writer)
		want   string
		whole  bool
	}{
		"repeats": {second: spoil(1, 2, 3, 4, 5), want: "1 2 3 4 5", whole: true},
		"gap":     {second: spoil(5, 6), want: "1 2 3"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(cataloguer.Resumable, true, newEndpoint(t, "a", events(3, false)), newEndpoint(t, "b", test.second))
			w, _, err := b.serve(context.Background(), 5*time.Second)
			if (err == nil) != test.whole {
				t.Errorf("got error %v, want whole %v", err, test.whole)
			}
			if got := ids(w.Body.String()); got != test.want {
				t.Errorf("got events %s, want %s", got, test.want)
			}
		})
	}
}

// TestCallerGone requires that the endpoint's work ends with the caller.
func TestCallerGone(t *testing.T) {
	e := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk(w, "id: 1\ndata: 1\n\n")
	})
	b := newBed(cataloguer.Resumable, true, e)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, cancel)
	if _, _, err := b.serve(ctx, 5*time.Second); kindOf(err) != classifier.Cancelled {
		t.Errorf("got error %v, want kind %q", err, classifier.Cancelled)
	}
	select {
	case <-e.closed:
	case <-time.After(400 * time.Millisecond):
		t.Error("the endpoint's connection is still open 0.4 s after the caller left")
	}
}

// TestDeadline requires that a request that has run into its deadline is
// answered then, without a promise that it did not run.
func TestDeadline(t *testing.T) {
	e := newEndpoint(t, "a", func(int, io.Writer) {})
	b := newBed(cataloguer.Resumable, true, e)
	begun := time.Now()
	_, _, err := b.serve(context.Background(), 300*time.Millisecond)
	if got := classifier.AnswerOf(kindOf(err)); got.Status != http.StatusGatewayTimeout {
		t.Errorf("got error %v, want status %d", err, http.StatusGatewayTimeout)
	}
	if got := time.Since(begun); got > 800*time.Millisecond {
		t.Errorf("got the answer after %v, want it at the deadline", got)
	}
}

// TestDeadStage requires that a stream through a stage that has died is moved
// off it, with the same first stage, and goes on in the same run.
func TestDeadStage(t *testing.T) {
	moved := make(chan struct{})
	first := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk(w, "id: 1\ndata: 1\n\n")
		<-moved
		chunk(w, "id: 2\ndata: 2\n\n")
		fmt.Fprint(w, "0\r\n\r\n")
	})
	dead := newEndpoint(t, "dead", lose)
	spare := newEndpoint(t, "spare", lose)
	b := newBed(cataloguer.Resumable, true)
	b.tickets.chains = [][]identifier.Stage{
		{stage(first, 0, 2), stage(dead, 2, 4)},
		{stage(first, 0, 2), stage(spare, 2, 4)},
	}
	b.orders.dead = dead.Address
	b.orders.onto = func() { close(moved) }
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return b.relayer.Watch(ctx) })
	begun := time.Now()
	w, _, err := b.serve(context.Background(), 5*time.Second)
	cancel()
	group.Wait()
	if err != nil {
		t.Fatal(err)
	}
	if got, want := ids(w.Body.String()), "1 2"; got != want {
		t.Errorf("got events %s, want %s", got, want)
	}
	if got := b.orders.moved; len(got) != 2 || got[1].Endpoint != "spare" {
		t.Errorf("got chain %v, want the spare endpoint in place of the dead one", got)
	}
	if got := len(first.ran()); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
	if got, want := time.Since(begun), b.route.Gap; got > want {
		t.Errorf("the stream went on after %v, want a pause that is on time, %v", got, want)
	}
}

// TestRetryBudget requires that the retries of instances that start together,
// before they know of each other, stay within what their requests earn.
func TestRetryBudget(t *testing.T) {
	e := newEndpoint(t, "a", lose)
	f := newEndpoint(t, "b", lose)
	const requests, instances = 100, 5
	for range instances {
		b := newBed(cataloguer.Idempotent, false, e, f)
		b.relayer.Retries.Burst = 40
		for range requests {
			b.serve(context.Background(), time.Second)
		}
	}
	got := len(e.ran()) + len(f.ran()) - requests*instances
	if want := int(0.2*requests*instances) + 40; got > want {
		t.Errorf("got %d retries for %d requests, want at most %d", got, requests*instances, want)
	}
}

// TestRetryWindow requires that the burst is allowed again in each window, and
// not more than it in any, however many instances are cut off from each other.
func TestRetryWindow(t *testing.T) {
	e := newEndpoint(t, "a", lose)
	f := newEndpoint(t, "b", lose)
	b := newBed(cataloguer.Idempotent, false, e, f)
	b.relayer.Retries = relayer.Retries{
		Burst:  50,
		Window: time.Second,
	}
	const windows = 5
	begun := time.Now()
	counts := make([]int, 2*windows)
	for time.Since(begun) < windows*time.Second {
		before := len(e.ran()) + len(f.ran())
		b.serve(context.Background(), time.Second)
		half := int(time.Since(begun) / (time.Second / 2))
		if half < len(counts) {
			counts[half] += len(e.ran()) + len(f.ran()) - before - 1
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

// TestSlowStage has a stage make events too slowly for several streams: they are
// moved, though none of them is silent for good and the stage answers.
func TestSlowStage(t *testing.T) {
	moved := make(chan struct{})
	var once sync.Once
	first := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := 1; i <= 20; i++ {
			chunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
			select {
			case <-moved:
			case <-time.After(180 * time.Millisecond):
			}
		}
		fmt.Fprint(w, "0\r\n\r\n")
	})
	slow := newEndpoint(t, "slow", lose)
	spare := newEndpoint(t, "spare", lose)
	b := newBed(cataloguer.Resumable, true)
	b.tickets.chains = [][]identifier.Stage{
		{stage(first, 0, 2), stage(slow, 2, 4)},
		{stage(first, 0, 2), stage(spare, 2, 4)},
	}
	b.orders.slow = slow.Address
	b.orders.onto = func() { once.Do(func() { close(moved) }) }
	ctx, cancel := context.WithCancel(context.Background())
	var watching, streams errgroup.Group
	watching.Go(func() error { return b.relayer.Watch(ctx) })
	begun := time.Now()
	for range 4 {
		streams.Go(func() error {
			_, _, err := b.serve(context.Background(), 5*time.Second)
			return err
		})
	}
	err := streams.Wait()
	cancel()
	watching.Wait()
	if err != nil {
		t.Fatal(err)
	}
	if got := b.orders.moved; len(got) != 2 || got[1].Endpoint != "spare" {
		t.Errorf("got chain %v, want the spare endpoint in place of the slow one", got)
	}
	if got, want := time.Since(begun), 2*time.Second; got > want {
		t.Errorf("the streams took %v, want them moved well before %v", got, want)
	}
}
