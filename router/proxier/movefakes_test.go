package proxier_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
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
	// refusing are the addresses of endpoints that join no chain.
	refusing []string
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

func (o *movingOrders) Repath(_ context.Context, id identifier.Request, chain []identifier.Stage) (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range chain {
		if slices.Contains(o.refusing, s.Address) {
			return s.Address, director.ErrStageUnavailable
		}
	}
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

// newMovingFixture returns a fixture whose callers accept pauses of 400 ms, and its fakes.
func newMovingFixture() (*fixture, *movingOrders, *movingTickets) {
	f := newFixture(cataloguer.AtMostOnce, true)
	f.route.Gap = 400 * time.Millisecond
	orders := newMovingOrders(f)
	tickets := &movingTickets{
		first: make(map[string][]identifier.Stage),
		moved: make(map[string][]identifier.Stage),
	}
	f.proxier.Orderer, f.proxier.Tickets = orders, tickets
	return f, orders, tickets
}

// addDeadStage sets up request "r", whose second stage is dead and which can be moved to a spare
// one. Its first stage is silent until resume is signalled.
func (o *movingOrders) addDeadStage(t *testing.T, f *fixture, resume <-chan struct{}) {
	t.Helper()
	first := newEndpoint(t, "first", stallUntil(resume))
	dead := newEndpoint(t, "dead", dropConnection)
	spare := newEndpoint(t, "spare", dropConnection)
	o.silent = append(o.silent, dead.Address)
	f.proxier.Orderer = o
	f.proxier.Tickets = &movingTickets{
		first: map[string][]identifier.Stage{"r.1": {stage(first, 0, 2), stage(dead, 2, 4)}},
		moved: map[string][]identifier.Stage{"r.1": {stage(first, 0, 2), stage(spare, 2, 4)}},
	}
}
