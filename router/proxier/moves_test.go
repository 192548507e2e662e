package proxier_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/mover"
	"heatherhold.dev/router/proxier"
)

// TestSlowMoveDelaysStreamsOfOtherEndpoint guards against an endpoint whose streams wait while
// those of other endpoints, found failed in the same round, look for a chain.
func TestSlowMoveDelaysStreamsOfOtherEndpoint(t *testing.T) {
	const slow = 8
	f, orders, tickets := newMovingFixture()
	spare := newEndpoint(t, "spare", dropConnection)
	add := func(id string, resume <-chan struct{}) *endpoint {
		first := newEndpoint(t, "first-"+id, stallUntil(resume))
		dead := newEndpoint(t, "dead-"+id, dropConnection)
		orders.silent = append(orders.silent, dead.Address)
		tickets.first[id+".1"] = []identifier.Stage{stage(first, 0, 2), stage(dead, 2, 4)}
		return first
	}
	victim := add("victim", orders.onMove("victim"))
	tickets.moved["victim.1"] = []identifier.Stage{stage(victim, 0, 2), stage(spare, 2, 4)}
	var group errgroup.Group
	for i := range slow {
		add(fmt.Sprint("slow", i), nil)
	}
	for i := range slow {
		group.Go(func() error {
			_, err := f.serveAs(fmt.Sprint("slow", i), &f.route, 5*time.Second)
			return err
		})
	}
	f.watch(t)
	start := time.Now()
	w, err := f.serveAs("victim", &f.route, 5*time.Second)
	requireEvents(t, ids(w.Body.String()), err, "1 2 3")
	if got, want := time.Since(start), f.route.Gap; got > want {
		t.Errorf("the stream went on after %v, want at most %v: a chain was free", got, want)
	}
	if err := group.Wait(); err != nil {
		t.Errorf("a stream that stayed: got error %v, want the whole stream", err)
	}
}

// TestStreamMovedToFailedEndpoint guards against a stream through two endpoints that fail
// together and is moved around one of them only.
func TestStreamMovedToFailedEndpoint(t *testing.T) {
	f := newFixture(cataloguer.AtMostOnce, true)
	orders := newMovingOrders(f)
	first := newEndpoint(t, "first", stallUntil(orders.onMove("r")))
	var dead, spare [2]*endpoint
	for i := range dead {
		dead[i] = newEndpoint(t, fmt.Sprint("dead", i), dropConnection)
		spare[i] = newEndpoint(t, fmt.Sprint("spare", i), dropConnection)
		orders.silent = append(orders.silent, dead[i].Address)
	}
	tickets := &movingTickets{
		first: map[string][]identifier.Stage{"r.1": {stage(first, 0, 1), stage(dead[0], 1, 2), stage(dead[1], 2, 4)}},
		moved: map[string][]identifier.Stage{"r.1": {stage(first, 0, 1), stage(spare[0], 1, 2), stage(spare[1], 2, 4)}},
	}
	f.proxier.Orderer, f.proxier.Tickets = orders, tickets
	f.watch(t)
	w, err := f.serveAs("r", &f.route, 5*time.Second)
	requireEvents(t, ids(w.Body.String()), err, "1 2 3")
	asks := tickets.asks()
	if len(asks) != 1 {
		t.Fatalf("got %d asks for a move, want 1", len(asks))
	}
	for _, e := range dead {
		avoided := slices.ContainsFunc(asks[0].GetAvoid(), func(m *messenger.Mark) bool { return m.GetEndpoint() == string(e.Endpoint.Endpoint) })
		if !avoided {
			t.Errorf("the move avoids %v, want %s as well", asks[0].GetAvoid(), e.Endpoint.Endpoint)
		}
	}
}

// TestSlowPaceProbed guards against reports that are requested of endpoints whose streams are
// slow by nature: they cost the operators something, and nothing is wrong.
func TestSlowPaceProbed(t *testing.T) {
	for _, c := range []struct {
		name   string
		pauses []time.Duration
		events int
	}{
		{name: "regular", pauses: []time.Duration{660 * time.Millisecond}, events: 9},
		{name: "bursts", pauses: []time.Duration{0, 0, 0, 700 * time.Millisecond}, events: 24},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, "slow", func(_ int, w io.Writer) {
				fmt.Fprint(w, streamHeader)
				for i := range c.events {
					writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i+1, i+1))
					time.Sleep(c.pauses[i%len(c.pauses)])
				}
				fmt.Fprint(w, "0\r\n\r\n")
			})
			f := newFixture(cataloguer.AtMostOnce, true, e)
			f.route.Gap = 2 * time.Second
			orders := newMovingOrders(f)
			f.proxier.Orderer = orders
			f.watch(t)
			if _, _, err := f.serve(context.Background(), 20*time.Second); err != nil {
				t.Errorf("got error %v, want the whole stream", err)
			}
			if got := orders.probes(); got != 0 {
				t.Errorf("got %d reports requested, want none", got)
			}
		})
	}
}

// TestMovedStreamProbedWhileRead guards against a stage that reads the prompt of a stream moved
// to it and is asked, or given up, because of the pause from before the move.
func TestMovedStreamProbedWhileRead(t *testing.T) {
	f := newFixture(cataloguer.AtMostOnce, true)
	f.route.Gap = time.Second
	orders := newMovingOrders(f)
	moved := orders.onMove("r")
	reading := make(chan struct{})
	orders.addDeadStage(t, f, reading)
	f.watch(t)
	var probes int
	var group errgroup.Group
	group.Go(func() error {
		<-moved
		probes = orders.probes()
		time.Sleep(250 * time.Millisecond)
		probes = orders.probes() - probes
		close(reading)
		return nil
	})
	w, err := f.serveAs("r", &f.route, 5*time.Second)
	requireEvents(t, ids(w.Body.String()), err, "1 2 3")
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if probes != 0 {
		t.Errorf("got %d reports requested while the new stage read the prompt, want none", probes)
	}
}

// TestStagesReadForTooManyStreams guards against new stages that are asked to read the prompts of
// all streams of a failed endpoint at once, and against streams that never get their turn.
func TestStagesReadForTooManyStreams(t *testing.T) {
	const streams = 3 * mover.Limit
	f, orders, tickets := newMovingFixture()
	dead := newEndpoint(t, "dead", dropConnection)
	spare := newEndpoint(t, "spare", dropConnection)
	orders.silent = append(orders.silent, dead.Address)
	var reading, most atomic.Int64
	for i := range streams {
		id := fmt.Sprint("r", i)
		moved := orders.onMove(identifier.Request(id))
		first := newEndpoint(t, "first-"+id, func(after int, w io.Writer) {
			fallSilent(1)(after, w)
			select {
			case <-moved:
			case <-time.After(4 * time.Second):
				return
			}
			now := reading.Add(1)
			for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
			}
			time.Sleep(60 * time.Millisecond)
			reading.Add(-1)
			writeChunk(w, "id: 2\ndata: 2\n\n")
			fmt.Fprint(w, "0\r\n\r\n")
		})
		tickets.first[id+".1"] = []identifier.Stage{stage(first, 0, 2), stage(dead, 2, 4)}
		tickets.moved[id+".1"] = []identifier.Stage{stage(first, 0, 2), stage(spare, 2, 4)}
	}
	f.watch(t)
	var group errgroup.Group
	for i := range streams {
		group.Go(func() error {
			_, err := f.serveAs(fmt.Sprint("r", i), &f.route, 5*time.Second)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		t.Errorf("got error %v, want all streams whole", err)
	}
	if got := most.Load(); got > mover.Limit {
		t.Errorf("got %d streams whose new stage reads at once, want %d at most", got, mover.Limit)
	}
}

// TestMoveNeedsRetry guards against a stream that stays at a failed endpoint because no retry is
// left, although its first stage could go on over another chain: a move is no second run.
func TestMoveNeedsRetry(t *testing.T) {
	f := newFixture(cataloguer.Resumable, true)
	f.proxier.Retries = proxier.Retries{}
	orders := newMovingOrders(f)
	first := newEndpoint(t, "first", stallUntil(orders.onMove("r")))
	dead := newEndpoint(t, "dead", dropConnection)
	spare := newEndpoint(t, "spare", dropConnection)
	orders.silent = append(orders.silent, dead.Address)
	f.proxier.Orderer = orders
	f.proxier.Tickets = &movingTickets{
		first:    map[string][]identifier.Stage{"r.1": {stage(first, 0, 2), stage(dead, 2, 4)}},
		moved:    map[string][]identifier.Stage{"r.1": {stage(first, 0, 2), stage(spare, 2, 4)}},
		refusals: 2,
	}
	f.watch(t)
	start := time.Now()
	w, err := f.serveAs("r", &f.route, 5*time.Second)
	requireEvents(t, ids(w.Body.String()), err, "1 2 3")
	if got, want := time.Since(start), 2*time.Second; got > want {
		t.Errorf("the stream went on after %v, want at most %v: a chain was free", got, want)
	}
	if got := len(first.runs()); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// TestRefusedMoveLosesTime guards against a stream whose new stage refuses and that waits for the
// next try of its search although another chain is free. The chains of one turn are limited.
func TestRefusedMoveLosesTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		refuse  int
		want    time.Duration
		minimum time.Duration
	}{
		{name: "one refuses", refuse: 1, want: 400 * time.Millisecond},
		{name: "two refuse", refuse: 2, want: 400 * time.Millisecond},
		{name: "three refuse", refuse: 3, want: 2 * time.Second, minimum: 250 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(cataloguer.AtMostOnce, true)
			f.route.Gap = 400 * time.Millisecond
			orders := newMovingOrders(f)
			first := newEndpoint(t, "first", stallUntil(orders.onMove("r")))
			dead := newEndpoint(t, "dead", dropConnection)
			orders.silent = append(orders.silent, dead.Address)
			f.proxier.Orderer = orders
			f.tickets.chains = [][]identifier.Stage{{stage(first, 0, 2), stage(dead, 2, 4)}}
			for i := range c.refuse + 1 {
				spare := newEndpoint(t, fmt.Sprint("spare", i), dropConnection)
				f.tickets.chains = append(f.tickets.chains, []identifier.Stage{stage(first, 0, 2), stage(spare, 2, 4)})
				if i < c.refuse {
					orders.refusing = append(orders.refusing, spare.Address)
				}
			}
			if c.refuse == 3 {
				// The next turn begins anew: the endpoints refused for want of a place.
				time.AfterFunc(300*time.Millisecond, func() {
					orders.mu.Lock()
					defer orders.mu.Unlock()
					orders.refusing = nil
				})
			}
			f.watch(t)
			start := time.Now()
			w, err := f.serveAs("r", &f.route, 5*time.Second)
			requireEvents(t, ids(w.Body.String()), err, "1 2 3")
			if got := time.Since(start); got > c.want || got < c.minimum {
				t.Errorf("the stream went on after %v, want %v to %v", got, c.minimum, c.want)
			}
		})
	}
}

// TestResumedStreamMoved guards against moving a stream whose endpoint was only silent and that
// has made progress before its turn.
func TestResumedStreamMoved(t *testing.T) {
	f, orders, tickets := newMovingFixture()
	add := func(id string, serve func(int, io.Writer)) {
		first := newEndpoint(t, "first-"+id, serve)
		dead := newEndpoint(t, "dead-"+id, dropConnection)
		orders.silent = append(orders.silent, dead.Address)
		tickets.first[id+".1"] = []identifier.Stage{stage(first, 0, 2), stage(dead, 2, 4)}
	}
	end := make(chan struct{})
	for i := range mover.Limit {
		add(fmt.Sprint("slow", i), stallUntil(end))
	}
	add("resumed", func(after int, w io.Writer) {
		fallSilent(1)(after, w)
		time.Sleep(250 * time.Millisecond)
		for i := 2; i <= 6; i++ {
			writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Fprint(w, "0\r\n\r\n")
	})
	f.watch(t)
	var group errgroup.Group
	for i := range mover.Limit {
		group.Go(func() error {
			_, err := f.serveAs(fmt.Sprint("slow", i), &f.route, 5*time.Second)
			return err
		})
	}
	for len(tickets.asks()) < mover.Limit {
		time.Sleep(time.Millisecond)
	}
	// Every turn is taken for as long as a ticket is waited for, 400 ms. The stream is stalled
	// after 180 ms and makes progress after 250 ms.
	w, err := f.serveAs("resumed", &f.route, 5*time.Second)
	close(end)
	requireEvents(t, ids(w.Body.String()), err, "1 2 3 4 5 6")
	for _, ask := range tickets.asks() {
		if ask.GetMoves() == "resumed.1" {
			t.Errorf("got an ask to move the stream, want none: it made progress")
		}
	}
	if err := group.Wait(); err != nil {
		t.Errorf("a stream that stayed: got error %v, want the whole stream", err)
	}
}

// TestUrgentStreamsMovedLast guards against streams that start to move in the order in which they
// were found: of those that can't be on time, the more urgent move first.
func TestUrgentStreamsMovedLast(t *testing.T) {
	const urgent, others = 8, 24
	f, orders, tickets := newMovingFixture()
	dead := newEndpoint(t, "dead", dropConnection)
	spare := newEndpoint(t, "spare", dropConnection)
	orders.silent = append(orders.silent, dead.Address)
	var jobs []proxier.Job
	var started atomic.Int64
	for i := range urgent + others {
		j := f.job(5 * time.Second)
		id := fmt.Sprint("other", i)
		j.Order = 3
		if i%4 == 0 {
			id = fmt.Sprint("urgent", i)
			j.Order = 1
		}
		request := *j.Request
		request.ID = identifier.Request(id)
		j.Request = &request
		moved := orders.onMove(request.ID)
		first := newEndpoint(t, "first-"+id, func(after int, w io.Writer) {
			fallSilent(1)(after, w)
			started.Add(1)
			<-moved
			time.Sleep(60 * time.Millisecond)
			fmt.Fprint(w, "0\r\n\r\n")
		})
		tickets.first[id+".1"] = []identifier.Stage{stage(first, 0, 2), stage(dead, 2, 4)}
		tickets.moved[id+".1"] = []identifier.Stage{stage(first, 0, 2), stage(spare, 2, 4)}
		jobs = append(jobs, j)
	}
	var group errgroup.Group
	for _, j := range jobs {
		group.Go(func() error {
			_, err := f.proxier.Serve(context.Background(), httptest.NewRecorder(), j)
			return err
		})
	}
	// When the endpoint is found failed, every stream must have its first event and too little
	// time left to be on time.
	for started.Load() < urgent+others {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	f.watch(t)
	if err := group.Wait(); err != nil {
		t.Errorf("got error %v, want all streams whole", err)
	}
	asks := tickets.asks()
	if len(asks) < urgent+others {
		t.Fatalf("got %d moves, want %d", len(asks), urgent+others)
	}
	// The first moves start together: 12 that can't be on time at once.
	ahead := 0
	for _, ask := range asks[:12] {
		if strings.HasPrefix(ask.GetMoves(), "urgent") {
			ahead++
		}
	}
	if ahead != urgent {
		t.Errorf("got %d of %d urgent streams among the first 12 moves, want all", ahead, urgent)
	}
}
