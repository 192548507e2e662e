package granter_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/scheduler"
)

const (
	service  = identifier.Service("drafts")
	layers   = 8
	timeout  = 2 * time.Second
	urgent   = "urgent"
	askCount = 5
)

// owner is an instance that owns a pool with one endpoint.
type owner struct {
	granter      *granter.Granter
	publisher    *publisher.Publisher
	requestCount atomic.Int64
}

func newOwner(t *testing.T) *owner {
	t.Helper()
	return newOwnerOf(t, func(*publisher.View, granter.Key) []scheduler.Report { return []scheduler.Report{endpoint()} })
}

// newOwnerOf returns an owner of the endpoints that estimate returns.
func newOwnerOf(t *testing.T, estimate func(*publisher.View, granter.Key) []scheduler.Report) *owner {
	t.Helper()
	loop := executor.New()
	o := &owner{
		granter:   granter.New(loop),
		publisher: publisher.New(),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o.granter.Log = log
	o.granter.Publisher = o.publisher
	o.granter.Lease = time.Second
	o.granter.Estimate = estimate
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return o.granter.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return o
}

// endpoint returns the report of an endpoint that holds the whole model.
func endpoint() scheduler.Report {
	return scheduler.Report{Runner: planner.Runner{
		Stage: identifier.Stage{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    "e1",
				Incarnation: 1,
			},
			To: layers,
		},
		Slots:     64,
		TokenTime: time.Millisecond,
	}}
}

// configure publishes a configuration with the given ranks.
func (o *owner) configure(revision identifier.Revision, ranks ...identifier.Rank) {
	d := &declarer.Declaration{
		Rank:    make(map[identifier.Rank]declarer.Rank),
		Service: map[identifier.Service]declarer.Service{service: {Layers: layers}},
	}
	for i, r := range ranks {
		d.Rank[r] = declarer.Rank{
			Order:         i,
			BetweenTokens: identifier.DurationOf(100 * time.Millisecond),
			QueueLimit:    100,
			MaxWait:       identifier.DurationOf(time.Second),
		}
	}
	o.publisher.Publish(&publisher.View{
		Revision:    revision,
		Declaration: d,
	})
}

// openAndAsk opens a stream as an entry does and asks for n tickets.
func (o *owner) openAndAsk(t *testing.T, n int) *granter.LocalStream {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	stream, err := o.granter.Open(ctx, granter.Key{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	m := &messenger.ToOwner{Pool: string(service)}
	for range n {
		m.Asks = append(m.Asks, &messenger.Ask{
			Request:      fmt.Sprintf("%s-%d", t.Name(), o.requestCount.Add(1)),
			Customer:     "council",
			Rank:         urgent,
			Weight:       1,
			PromptTokens: 10,
			OutputTokens: 10,
		})
	}
	stream.Send(m)
	return stream
}

// awaitDecisions waits until n asks are granted or refused.
func awaitDecisions(t *testing.T, stream *granter.LocalStream, n int) (grants []*messenger.Grant, refusals []*messenger.Refusal) {
	t.Helper()
	deadline := time.After(timeout)
	for len(grants)+len(refusals) < n {
		select {
		case <-stream.Ready():
		case <-deadline:
			t.Fatalf("got %d grants and %d refusals in %v, want %d decisions", len(grants), len(refusals), timeout, n)
		}
		for _, m := range stream.Receive() {
			grants = append(grants, m.GetGrants()...)
			refusals = append(refusals, m.GetRefusals()...)
		}
	}
	return grants, refusals
}

// TestRefusalNamesRevision checks that a refusal contains the revision of the
// configuration that it was based on.
func TestRefusalNamesRevision(t *testing.T) {
	o := newOwner(t)
	o.configure(7, urgent)
	stream := o.openAndAsk(t, 101)
	_, refusals := awaitDecisions(t, stream, 101)
	if len(refusals) == 0 {
		t.Fatal("got no refusal of 101 asks of one customer, want one for an ask that exceeds the queue limit")
	}
	for _, r := range refusals {
		if got, want := r.GetRevision(), uint64(7); got != want {
			t.Errorf("revision: got %d, want %d", got, want)
		}
	}
}

// TestValidRequestRefusedByStartingOwner guards against an owner that has no
// configuration yet and refuses a valid request as invalid.
func TestValidRequestRefusedByStartingOwner(t *testing.T) {
	o := newOwner(t)
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(50 * time.Millisecond)
		o.configure(7, urgent)
		return nil
	})
	stream := o.openAndAsk(t, askCount)
	group.Wait()
	checkGranted(t, stream)
}

// TestValidRequestRefusedByOwnerOnOtherRevision guards against an owner that
// refuses a valid request because its configuration lacks the request's rank, which
// the entry's configuration has.
func TestValidRequestRefusedByOwnerOnOtherRevision(t *testing.T) {
	t.Run("older", func(t *testing.T) {
		o := newOwner(t)
		o.configure(6, "batch")
		checkGranted(t, o.openAndAsk(t, askCount))
	})
	t.Run("newer", func(t *testing.T) {
		o := newOwner(t)
		o.configure(7, urgent, "batch")
		checkGranted(t, o.openAndAsk(t, askCount))
		o.configure(8, "batch")
		checkGranted(t, o.openAndAsk(t, askCount))
	})
}

// checkGranted checks that all askCount asks are granted.
func checkGranted(t *testing.T, stream *granter.LocalStream) {
	t.Helper()
	grants, refusals := awaitDecisions(t, stream, askCount)
	if len(grants) != askCount {
		t.Errorf("got %d grants, want %d", len(grants), askCount)
	}
	for _, r := range refusals {
		t.Errorf("got a refusal of kind %s (%s), want a grant", r.GetKind(), r.GetDetail())
	}
}
