package proxier_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/proxier"
)

// silence is how long a sound endpoint sends nothing in the tests.
const silence = 700 * time.Millisecond

// streamHeader is the header of a stream.
const streamHeader = "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// pauseOnce serves three events with a silence after the first one.
func pauseOnce(after int, w io.Writer) {
	fmt.Fprint(w, streamHeader)
	for i := after + 1; i <= 3; i++ {
		writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		if i == after+1 {
			time.Sleep(silence)
		}
	}
	fmt.Fprint(w, "0\r\n\r\n")
}

// fallSilent returns a serve function that sends the events up to last and then nothing more.
func fallSilent(last int) func(int, io.Writer) {
	return func(after int, w io.Writer) {
		fmt.Fprint(w, streamHeader)
		for i := after + 1; i <= last; i++ {
			writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
	}
}

// watch runs the watcher until the test ends.
func (f *fixture) watch(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.proxier.Watch(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

// serveWatched forwards one request while the watcher runs.
func serveWatched(t *testing.T, f *fixture) (events string, err error) {
	t.Helper()
	f.watch(t)
	w, _, err := f.serve(context.Background(), 5*time.Second)
	return ids(w.Body.String()), err
}

// requireEvents requires a complete stream with the given events.
func requireEvents(t *testing.T, events string, err error, want string) {
	t.Helper()
	if err != nil {
		t.Errorf("got error %v, want the whole stream", err)
	}
	if events != want {
		t.Errorf("got events %q, want %q", events, want)
	}
}

// TestSilentEndpointEndsAnswer guards against breaking off a stream that can go nowhere else
// because its endpoint is silent for a moment.
func TestSilentEndpointEndsAnswer(t *testing.T) {
	for _, c := range []struct {
		name       string
		repetition cataloguer.Repetition
		attempts   int
		retries    float64
		spare      bool
	}{
		{name: "may run once", repetition: cataloguer.AtMostOnce, attempts: 2, retries: 10, spare: true},
		{name: "all attempts used", repetition: cataloguer.Resumable, attempts: 1, retries: 10, spare: true},
		{name: "no other chain", repetition: cataloguer.Resumable, attempts: 2, retries: 10},
		{name: "no retry left", repetition: cataloguer.Resumable, attempts: 2, spare: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			silent := newEndpoint(t, "silent", pauseOnce)
			spare := newEndpoint(t, "spare", dropConnection)
			f := newFixture(c.repetition, true, silent, spare)
			f.route.Attempts = c.attempts
			f.proxier.Retries.Ratio = 0
			f.proxier.Retries.Burst = c.retries
			f.orders.unresponsive = silent.Address
			if !c.spare {
				f.tickets.chains = f.tickets.chains[:1]
			}
			events, err := serveWatched(t, f)
			requireEvents(t, events, err, "1 2 3")
			if got := len(silent.runs()) + len(spare.runs()); got != 1 {
				t.Errorf("got %d runs, want 1", got)
			}
		})
	}
}

// TestSilentEndpointWithoutHeaderEndsAnswer guards against ending a request that has no part
// of its answer yet because its endpoint is silent.
func TestSilentEndpointWithoutHeaderEndsAnswer(t *testing.T) {
	const delay = 2600 * time.Millisecond
	silent := newEndpoint(t, "silent", func(after int, w io.Writer) {
		time.Sleep(delay)
		streamEvents(3, true)(after, w)
	})
	f := newFixture(cataloguer.Resumable, true, silent)
	f.orders.unresponsive = silent.Address
	events, err := serveWatched(t, f)
	requireEvents(t, events, err, "1 2 3")
}

// TestSilentLaterStageEndsAnswer guards against breaking off a stream whose later stage is
// silent for a moment and that can't be moved.
func TestSilentLaterStageEndsAnswer(t *testing.T) {
	first := newEndpoint(t, "first", pauseOnce)
	silent := newEndpoint(t, "silent", dropConnection)
	f := newFixture(cataloguer.AtMostOnce, true)
	f.tickets.chains = [][]identifier.Stage{{stage(first, 0, 2), stage(silent, 2, 4)}}
	f.orders.unresponsive = silent.Address
	events, err := serveWatched(t, f)
	requireEvents(t, events, err, "1 2 3")
}

// TestSilentEndpointKeepsStreamUntilChainIsFree guards against giving a run up before there is
// another chain for its stream.
func TestSilentEndpointKeepsStreamUntilChainIsFree(t *testing.T) {
	silent := newEndpoint(t, "silent", func(after int, w io.Writer) {
		fallSilent(2)(after, w)
		time.Sleep(silence / 2)
		writeChunk(w, "id: 3\ndata: 3\n\n")
	})
	spare := newEndpoint(t, "spare", streamEvents(5, true))
	f := newFixture(cataloguer.Resumable, true, silent, spare)
	f.orders.unresponsive = silent.Address
	f.tickets.freeAt = time.Now().Add(2 * silence)
	events, err := serveWatched(t, f)
	requireEvents(t, events, err, "1 2 3 4 5")
	if got := len(spare.runs()); got != 1 {
		t.Errorf("got %d runs at the other endpoint, want 1", got)
	}
}

// TestRunEndedForUnreachableChain guards against ending a run for another one that does not
// begin.
func TestRunEndedForUnreachableChain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := &endpoint{}
	gone.EndpointIncarnation = identifier.EndpointIncarnation{
		Endpoint:    "gone",
		Incarnation: 1,
	}
	gone.Address = l.Addr().String()
	l.Close()
	for _, c := range []struct {
		name  string
		other *endpoint
	}{
		{name: "no connection", other: gone},
		{name: "refusal", other: newEndpoint(t, "full", reply(http.StatusServiceUnavailable, "Not-Run: 1\r\n", ""))},
		{name: "silence", other: newEndpoint(t, "mute", func(int, io.Writer) {})},
		{name: "failure", other: newEndpoint(t, "broken", reply(http.StatusInternalServerError, "", ""))},
	} {
		t.Run(c.name, func(t *testing.T) {
			silent := newEndpoint(t, "silent", pauseOnce)
			f := newFixture(cataloguer.Resumable, true, silent, c.other)
			f.orders.unresponsive = silent.Address
			f.proxier.Retries.Ratio = 0
			f.proxier.Retries.Burst = 1
			events, err := serveWatched(t, f)
			requireEvents(t, events, err, "1 2 3")
		})
	}
}

// TestRunEndedForSameEndpoint guards against ending a run for another one at the endpoint that
// is silent.
func TestRunEndedForSameEndpoint(t *testing.T) {
	silent := newEndpoint(t, "silent", pauseOnce)
	f := newFixture(cataloguer.Resumable, true, silent)
	f.orders.unresponsive = silent.Address
	f.tickets.reuseLast = true
	events, err := serveWatched(t, f)
	requireEvents(t, events, err, "1 2 3")
	if got := len(silent.runs()); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// queueingTickets grants each request its own chain at first. An ask that moves a stream
// waits for ever; other later asks get the chain then.
type queueingTickets struct {
	first map[string][]identifier.Stage
	then  []identifier.Stage
}

func (q *queueingTickets) Acquire(ctx context.Context, _ identifier.Service, ask *messenger.Ask) (*acquirer.Ticket, error) {
	if ask.GetMoves() != "" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if chain, ok := q.first[ask.GetRequest()]; ok {
		return acquirer.NewTicket(ask, chain), nil
	}
	return acquirer.NewTicket(ask, q.then), nil
}

// silentOrders is a fake proxier.Orderer for which several endpoints don't respond.
type silentOrders struct {
	*orders
	silent []string
}

func (o silentOrders) Report(_ context.Context, address string) (director.Report, error) {
	if slices.Contains(o.silent, address) {
		return director.Report{}, errors.New("no response")
	}
	return director.Report{Slowdown: 1}, nil
}

// serveAs forwards one request with the given id.
func (f *fixture) serveAs(id string, route *cataloguer.Route, timeout time.Duration) (*httptest.ResponseRecorder, error) {
	w := httptest.NewRecorder()
	_, err := f.proxier.Serve(context.Background(), w, proxier.Job{
		Request: &courier.Request{
			ID:     identifier.Request(id),
			Method: http.MethodPost,
			Host:   "h",
			URI:    "/x",
			Parts:  []identifier.Part{"p"},
		},
		Route:    route,
		Service:  "s",
		Engine:   f.engine,
		Deadline: time.Now().Add(timeout),
	})
	return w, err
}

// TestStayingStreamsDelayOthers guards against streams that can go nowhere and keep those of
// another silent endpoint from being handed over.
func TestStayingStreamsDelayOthers(t *testing.T) {
	const staying = 6
	spare := newEndpoint(t, "spare", streamEvents(3, true))
	victim := newEndpoint(t, "victim", fallSilent(1))
	q := &queueingTickets{
		first: map[string][]identifier.Stage{"victim.1": {stage(victim, 0, 4)}},
		then:  []identifier.Stage{stage(spare, 0, 4)},
	}
	f := newFixture(cataloguer.Resumable, true)
	f.proxier.Tickets = q
	once := f.route
	once.Repetition = cataloguer.AtMostOnce
	orders := silentOrders{
		orders: f.orders,
		silent: []string{victim.Address},
	}
	for i := range staying {
		first := newEndpoint(t, fmt.Sprint("first", i), fallSilent(1))
		later := newEndpoint(t, fmt.Sprint("later", i), dropConnection)
		orders.silent = append(orders.silent, later.Address)
		q.first[fmt.Sprintf("staying%d.1", i)] = []identifier.Stage{stage(first, 0, 2), stage(later, 2, 4)}
	}
	f.proxier.Orderer = orders
	var group errgroup.Group
	for i := range staying {
		group.Go(func() error {
			_, _ = f.serveAs(fmt.Sprint("staying", i), &once, 5*time.Second)
			return nil
		})
	}
	f.watch(t)
	time.Sleep(3 * time.Second)
	start := time.Now()
	w, err := f.serveAs("victim", &f.route, 5*time.Second)
	requireEvents(t, ids(w.Body.String()), err, "1 2 3")
	if got, want := time.Since(start), time.Second; got > want {
		t.Errorf("the stream was handed over after %v, want at most %v: a chain was free", got, want)
	}
	group.Wait()
}

// TestDarkCrashOfStayingRunForgotten guards against a crash without a reset that counts
// against no part because the run stays at the endpoint.
func TestDarkCrashOfStayingRunForgotten(t *testing.T) {
	f := newFixture(cataloguer.AtMostOnce, true)
	orders := silentOrders{orders: f.orders}
	q := &queueingTickets{first: make(map[string][]identifier.Stage)}
	for i := range 4 {
		dark := newEndpoint(t, fmt.Sprint("dark", i), fallSilent(0))
		orders.silent = append(orders.silent, dark.Address)
		q.first[fmt.Sprintf("q%d.1", i)] = []identifier.Stage{stage(dark, 0, 4)}
	}
	f.proxier.Orderer = orders
	f.proxier.Tickets = q
	f.watch(t)
	var err error
	for i := range 4 {
		_, err = f.serveAs(fmt.Sprint("q", i), &f.route, time.Second)
	}
	if got, want := kindOf(err), classifier.Quarantined; got != want {
		t.Errorf("got error %v after three endpoints ended under a part, want kind %s", err, want)
	}
}

// TestSlowAnswerWithoutAlternative guards against ending the run of a plain request before
// there is an endpoint and a retry for another one.
func TestSlowAnswerWithoutAlternative(t *testing.T) {
	for _, c := range []struct {
		name    string
		retries float64
		other   bool
	}{
		{name: "no other endpoint", retries: 10},
		{name: "no retry left", other: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			slow := newEndpoint(t, "slow", func(after int, w io.Writer) {
				time.Sleep(1200 * time.Millisecond)
				reply(http.StatusOK, "", "done")(after, w)
			})
			endpoints := []*endpoint{slow}
			if c.other {
				endpoints = append(endpoints, newEndpoint(t, "other", func(after int, w io.Writer) {
					time.Sleep(1200 * time.Millisecond)
					reply(http.StatusOK, "", "done")(after, w)
				}))
			}
			f := newFixture(cataloguer.Idempotent, false, endpoints...)
			f.proxier.Retries.Ratio = 0
			f.proxier.Retries.Burst = c.retries
			w, _, err := f.serve(context.Background(), 2500*time.Millisecond)
			if err != nil || w.Body.String() != "done" {
				t.Errorf("got %q and error %v, want the answer", w.Body, err)
			}
		})
	}
}

// TestSilentEndpointHoldsPlainRequest guards against a request that waits for a silent
// endpoint while another one would answer, and against a run that goes on after the answer.
func TestSilentEndpointHoldsPlainRequest(t *testing.T) {
	var arrived atomic.Int32
	serve := func(after int, w io.Writer) {
		if arrived.Add(1) > 1 {
			reply(http.StatusOK, "", "done")(after, w)
		}
	}
	endpoints := []*endpoint{newEndpoint(t, "a", serve), newEndpoint(t, "b", serve)}
	f := newFixture(cataloguer.Idempotent, false, endpoints...)
	w, _, err := f.serve(context.Background(), time.Second)
	if err != nil || w.Body.String() != "done" {
		t.Errorf("got %q and error %v, want the answer", w.Body, err)
	}
	if got, want := arrived.Load(), int32(2); got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
	select {
	case <-endpoints[0].closed:
	case <-endpoints[1].closed:
	case <-time.After(time.Second):
		t.Error("the connection to the silent endpoint is still open")
	}
}
