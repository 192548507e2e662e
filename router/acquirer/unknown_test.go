package acquirer_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/scheduler"
)

const (
	service = identifier.Service("drafts")
	layers  = 8
)

// uninformedOwner is an owner without a list of endpoints. It answers each request as unknown, and
// what follow, if set, returns.
type uninformedOwner struct {
	messenger.DRPCPeerUnimplementedServer
	follow func(request string) *messenger.FromOwner

	mu sync.Mutex
	// lists has the positions that the entry stated with its asks.
	lists []identifier.Position
}

// Tickets answers every ask.
func (o *uninformedOwner) Tickets(s messenger.DRPCPeer_TicketsStream) error {
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		for _, a := range m.GetAsks() {
			o.mu.Lock()
			o.lists = append(o.lists, m.GetList().Position())
			o.mu.Unlock()
			if err := s.Send(&messenger.FromOwner{Unknown: []string{a.GetRequest()}}); err != nil {
				return err
			}
			if o.follow == nil {
				continue
			}
			if err := s.Send(o.follow(a.GetRequest())); err != nil {
				return err
			}
		}
	}
}

// entry is an entry with a configuration, and with a list of endpoints once it has learnt one.
type entry struct {
	*acquirer.Acquirer
	address string
}

// newInformedEntry returns a running entry that can schedule alone.
func newInformedEntry(t testing.TB, owner messenger.DRPCPeerServer) *entry {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop := executor.New()
	a := acquirer.New()
	a.Self = "entry"
	a.Publisher = publisher.New()
	a.Dialer = &dialer.Dialer{}
	a.Log = log
	a.InactivityTimeout = time.Second
	a.Granter = granter.New(loop)
	a.Granter.Publisher = a.Publisher
	a.Granter.Log = log
	a.Granter.Lease = time.Second
	a.Granter.Estimate = func(v *publisher.View, k granter.Key) []scheduler.Report {
		var reports []scheduler.Report
		for _, e := range v.Fleet[k.Service] {
			reports = append(reports, scheduler.Report{Runner: planner.Runner{
				Stage: identifier.Stage{
					EndpointIncarnation: e.EndpointIncarnation,
					From:                e.From,
					To:                  e.To,
				},
				Slots:     8,
				TokenTime: time.Millisecond,
			}})
		}
		return reports
	}
	e := &entry{
		Acquirer: a,
		address:  serveOwner(t, owner),
	}
	run(t, loop.Run)
	run(t, a.Granter.Run)
	run(t, a.Run)
	return e
}

// publish publishes a view with an endpoint that holds layers up to a last one; none for 0.
func (e *entry) publish(to identifier.Layer) {
	v := &publisher.View{
		Revision: 1,
		Declaration: &declarer.Declaration{
			Rank: map[identifier.Rank]declarer.Rank{"urgent": {
				BetweenTokens: identifier.DurationOf(100 * time.Millisecond),
				QueueLimit:    100,
				MaxWait:       identifier.DurationOf(time.Second),
			}},
			Service: map[identifier.Service]declarer.Service{service: {Layers: layers}},
		},
		Live:     []identifier.Instance{"entry", "owner"},
		Eligible: []identifier.Instance{"owner"},
		Peers:    map[identifier.Instance]string{"owner": e.address},
	}
	if to > 0 {
		v.Fleet = map[identifier.Service][]cataloguer.Endpoint{service: {{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    "e1",
				Incarnation: 1,
			},
			Service: service,
			To:      to,
		}}}
	}
	e.Publisher.Publish(v)
	if to > 0 {
		e.Publisher.SetList(identifier.Position{
			Era:     1,
			Version: 20,
		})
	}
}

// acquire asks for a ticket with a longest wait.
func (e *entry) acquire(t testing.TB, request string, longest time.Duration) (*acquirer.Ticket, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return e.Acquire(ctx, service, &messenger.Ask{
		Request:      request,
		Customer:     "council",
		Rank:         "urgent",
		Weight:       1,
		PromptTokens: 10,
		OutputTokens: 10,
		Terms: &messenger.Terms{
			BetweenTokensMs: 100,
			QueueLimit:      100,
			MaxWaitMs:       longest.Milliseconds(),
		},
	})
}

// TestRequestLostWithUninformedOwner guards against an entry that has a list of every layer and
// waits, or fails, because the pool's owner has none.
func TestRequestLostWithUninformedOwner(t *testing.T) {
	o := &uninformedOwner{}
	e := newInformedEntry(t, o)
	e.publish(layers)
	began := time.Now()
	for i := range 5 {
		ticket, err := e.acquire(t, fmt.Sprintf("r%d", i), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := ticket.Owner, identifier.Instance("entry"); got != want {
			t.Errorf("owner of the ticket: got %s, want %s", got, want)
		}
	}
	if got, most := time.Since(began), 400*time.Millisecond; got > most {
		t.Errorf("time until all were granted: got %v, want at most %v", got, most)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.lists) == 0 || o.lists[0].Version != 20 {
		t.Errorf("positions stated with asks: got %v, want that of the entry's list", o.lists)
	}
}

// TestRequestWithoutAnyListNeverEnds guards against a request that waits for ever, or that is
// refused before its longest wait has ended, while neither the owner nor the entry has a list.
func TestRequestWithoutAnyListNeverEnds(t *testing.T) {
	for name, to := range map[string]identifier.Layer{
		"no list":         0,
		"a layer missing": layers - 1,
	} {
		t.Run(name, func(t *testing.T) {
			e := newInformedEntry(t, &uninformedOwner{})
			e.publish(to)
			const longest = 400 * time.Millisecond
			began := time.Now()
			_, err := e.acquire(t, "r1", longest)
			var refusal *classifier.Error
			if !errors.As(err, &refusal) || refusal.Kind != classifier.NoChain {
				t.Fatalf("got %v, want an error of kind %s", err, classifier.NoChain)
			}
			if got := time.Since(began); got < longest || got > 2*longest {
				t.Errorf("time until the refusal: got %v, want %v to %v", got, longest, 2*longest)
			}
		})
	}
}

// TestEntryLearnsListTooLate guards against requests that keep waiting for the owner after the
// entry itself has got a list.
func TestEntryLearnsListTooLate(t *testing.T) {
	e := newInformedEntry(t, &uninformedOwner{})
	e.publish(0)
	timer := time.AfterFunc(200*time.Millisecond, func() { e.publish(layers) })
	defer timer.Stop()
	if _, err := e.acquire(t, "r1", time.Second); err != nil {
		t.Fatal(err)
	}
}

// TestGrantAfterUnknownIgnored guards against an entry that does not take a grant from an owner
// which has got a list after it could not decide.
func TestGrantAfterUnknownIgnored(t *testing.T) {
	o := &uninformedOwner{follow: func(request string) *messenger.FromOwner {
		time.Sleep(200 * time.Millisecond)
		return &messenger.FromOwner{Grants: []*messenger.Grant{{
			Request: request,
			Chain:   []*messenger.Stage{{Endpoint: "e2", To: layers}},
		}}}
	}}
	e := newInformedEntry(t, o)
	e.publish(0)
	ticket, err := e.acquire(t, "r1", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := ticket.Owner, identifier.Instance("owner"); got != want {
		t.Errorf("owner of the ticket: got %s, want %s", got, want)
	}
}

// TestAloneBeforeViewIsPublished guards against a starting instance that does not schedule alone once
// it knows a configuration and a list: its first request came before the view was published.
func TestAloneBeforeViewIsPublished(t *testing.T) {
	e := newInformedEntry(t, &uninformedOwner{})
	timer := time.AfterFunc(250*time.Millisecond, func() { e.publish(layers) })
	defer timer.Stop()
	if _, err := e.acquire(t, "r1", 2*time.Second); err != nil {
		t.Fatal(err)
	}
}

// FuzzFromOwner lets an owner answer with any message: each request gets an answer in time, and
// no ticket without a chain.
func FuzzFromOwner(f *testing.F) {
	for _, m := range []*messenger.FromOwner{
		{Unknown: []string{"r1", "r1", "", "other"}},
		{Unknown: []string{"r1"}, List: &messenger.ListPosition{Era: 1 << 63, Version: 1 << 63}},
		{Unknown: []string{"r1"}, Refusals: []*messenger.Refusal{{Request: "r1"}}},
		{Unknown: []string{"r1"}, Grants: []*messenger.Grant{{Request: "r1"}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	var mu sync.Mutex
	next := &messenger.FromOwner{}
	o := &uninformedOwner{follow: func(string) *messenger.FromOwner {
		mu.Lock()
		defer mu.Unlock()
		return next
	}}
	e := newInformedEntry(f, o)
	e.publish(0)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &messenger.FromOwner{}
		if proto.Unmarshal(data, m) != nil {
			t.Skip("not a message")
		}
		mu.Lock()
		next = m
		mu.Unlock()
		const longest = 10 * time.Millisecond
		ticket, err := e.acquire(t, "r1", longest)
		if err == nil {
			if len(ticket.Chain) == 0 {
				t.Error("got a ticket without a chain, want an error")
			}
			ticket.Release(acquirer.Outcome{})
		}
		if errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want an answer within %v", err, longest)
		}
	})
}
