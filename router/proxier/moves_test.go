package proxier_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/mover"
	"heatherhold.dev/router/proxier"
)

// movingTickets grants each request its own chain, and each ask that moves a stream the chain
// that is set for the stream. A move without a chain waits until it is given up.
type movingTickets struct {
	first map[string][]identifier.Stage
	moved map[string][]identifier.Stage
	// refusals is how many moves are refused before the first one is granted.
	refusals int

	mu    sync.Mutex
	moves []*messenger.Ask
}

func (m *movingTickets) Acquire(ctx context.Context, _ identifier.Service, ask *messenger.Ask) (*acquirer.Ticket, error) {
	if ask.GetMoves() == "" {
		return acquirer.NewTicket(ask, m.first[ask.GetRequest()]), nil
	}
	m.mu.Lock()
	m.moves = append(m.moves, ask)
	refused := len(m.moves) <= m.refusals
	m.mu.Unlock()
	if refused {
		return nil, classifier.New(classifier.Overloaded, "no chain available")
	}
	if chain, ok := m.moved[ask.GetMoves()]; ok {
		return acquirer.NewTicket(ask, chain), nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// asks returns the asks that moved a stream.
func (m *movingTickets) asks() []*messenger.Ask {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.moves)
}

// movingOrders is a fake proxier.Orderer for which several endpoints don't respond. It signals
// each moved stream.
type movingOrders struct {
	silentOrders

	mu      sync.Mutex
	moved   map[identifier.Request]chan struct{}
	reports int
}

func newMovingOrders(f *fixture) *movingOrders {
	return &movingOrders{
		silentOrders: silentOrders{orders: f.orders},
		moved:        make(map[identifier.Request]chan struct{}),
	}
}

func (o *movingOrders) Report(ctx context.Context, address string) (director.Report, error) {
	o.mu.Lock()
	o.reports++
	o.mu.Unlock()
	return o.silentOrders.Report(ctx, address)
}

func (o *movingOrders) Repath(_ context.Context, id identifier.Request, _ []identifier.Stage) (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c, ok := o.moved[id]; ok {
		close(c)
		delete(o.moved, id)
	}
	return "", nil
}

// onMove returns a channel that is closed when the request is moved.
func (o *movingOrders) onMove(id identifier.Request) <-chan struct{} {
	c := make(chan struct{})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.moved[id] = c
	return c
}

// probes returns how many reports were requested.
func (o *movingOrders) probes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reports
}

// stallUntil returns a serve function that sends one of three events, and the rest after resume.
func stallUntil(resume <-chan struct{}) func(int, io.Writer) {
	return func(after int, w io.Writer) {
		fallSilent(1)(after, w)
		select {
		case <-resume:
		case <-time.After(3 * time.Second):
		}
		for i := 2; i <= 3; i++ {
			writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
		fmt.Fprint(w, "0\r\n\r\n")
	}
}

// TestSlowMoveDelaysStreamsOfOtherEndpoint guards against an endpoint whose streams wait while
// those of other endpoints, found failed in the same round, look for a chain.
func TestSlowMoveDelaysStreamsOfOtherEndpoint(t *testing.T) {
	const slow = 8
	f := newFixture(cataloguer.AtMostOnce, true)
	f.route.Gap = 400 * time.Millisecond
	orders := newMovingOrders(f)
	tickets := &movingTickets{
		first: make(map[string][]identifier.Stage),
		moved: make(map[string][]identifier.Stage),
	}
	f.proxier.Orderer, f.proxier.Tickets = orders, tickets
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
	}{
		{name: "regular", pauses: []time.Duration{350 * time.Millisecond}},
		{name: "bursts", pauses: []time.Duration{0, 0, 0, 380 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const events = 12
			e := newEndpoint(t, "slow", func(_ int, w io.Writer) {
				fmt.Fprint(w, streamHeader)
				for i := range events {
					writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i+1, i+1))
					time.Sleep(c.pauses[i%len(c.pauses)])
				}
				fmt.Fprint(w, "0\r\n\r\n")
			})
			f := newFixture(cataloguer.AtMostOnce, true, e)
			f.route.Gap = time.Second
			orders := newMovingOrders(f)
			f.proxier.Orderer = orders
			f.watch(t)
			if _, _, err := f.serve(context.Background(), 10*time.Second); err != nil {
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
	first := newEndpoint(t, "first", stallUntil(reading))
	dead := newEndpoint(t, "dead", dropConnection)
	spare := newEndpoint(t, "spare", dropConnection)
	orders.silent = append(orders.silent, dead.Address)
	f.proxier.Orderer = orders
	f.proxier.Tickets = &movingTickets{
		first: map[string][]identifier.Stage{"r.1": {stage(first, 0, 2), stage(dead, 2, 4)}},
		moved: map[string][]identifier.Stage{"r.1": {stage(first, 0, 2), stage(spare, 2, 4)}},
	}
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
	f := newFixture(cataloguer.AtMostOnce, true)
	f.route.Gap = 400 * time.Millisecond
	orders := newMovingOrders(f)
	tickets := &movingTickets{
		first: make(map[string][]identifier.Stage),
		moved: make(map[string][]identifier.Stage),
	}
	f.proxier.Orderer, f.proxier.Tickets = orders, tickets
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
