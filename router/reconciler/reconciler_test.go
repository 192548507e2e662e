package reconciler_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/reconciler"
)

const service = identifier.Service("drafts")

// placement is a store's lease, the endpoints and what was ordered of them.
type placement struct {
	mu sync.Mutex
	// noStore has the instances that the store does not answer.
	noStore  map[identifier.Instance]bool
	holder   identifier.Instance
	expiry   time.Time
	attempts map[identifier.Instance]int
	// reportDelay is how long an endpoint takes to report its state.
	reportDelay time.Duration
	orders      int
}

// lease is one instance's end of the lease.
type lease struct {
	placement *placement
	instance  identifier.Instance
}

const leaseTerm = 5 * time.Second

func (l lease) Acquire(context.Context) (time.Time, identifier.Fence, error) {
	p := l.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[l.instance]++
	if p.noStore[l.instance] || p.holder != l.instance && time.Now().Before(p.expiry) {
		return time.Time{}, 0, director.ErrLeaseHeld
	}
	p.holder = l.instance
	p.expiry = time.Now().Add(leaseTerm)
	return p.expiry, 1, nil
}

// Valid reports whether the instance holds the lease.
func (l lease) Valid() bool {
	p := l.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holder == l.instance && time.Now().Before(p.expiry)
}

// Place counts an order; the endpoints never report that it was carried out.
func (p *placement) Place(context.Context, director.Placement) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders++
	return nil
}

// Report returns an endpoint's state after reportDelay.
func (p *placement) Report(context.Context, string) (director.Report, error) {
	time.Sleep(p.reportDelay)
	return director.Report{}, nil
}

// view returns the view of a fleet of n instances with one empty endpoint.
func view(n int) *publisher.View {
	v := &publisher.View{
		Site: &cataloguer.Configuration{Services: map[identifier.Service]cataloguer.Service{service: {
			Engine: &cataloguer.Engine{
				Layers:       8,
				LayerBytes:   100,
				ContextBytes: 1,
				Slots:        64,
				UsualPrompt:  1,
				Accelerators: map[cataloguer.Accelerator]cataloguer.Kind{"card": {MemoryBytes: 1000}},
			},
		}}},
		Fleet: map[identifier.Service][]cataloguer.Endpoint{service: {{
			EndpointIncarnation: identifier.EndpointIncarnation{Endpoint: "e1"},
			Service:             service,
			Accelerator:         "card",
		}}},
	}
	for i := range n {
		v.Eligible = append(v.Eligible, identifier.Instance(fmt.Sprintf("r%03d", i)))
	}
	return v
}

// play runs the reconcilers of n instances for a time.
func play(t *testing.T, p *placement, n int, period time.Duration) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(t.Context(), period)
	defer cancel()
	v := view(n)
	var group errgroup.Group
	for _, name := range v.Eligible {
		pub := publisher.New()
		pub.Publish(v)
		r := &reconciler.Reconciler{
			Self:      name,
			Publisher: pub,
			Lease: lease{
				placement: p,
				instance:  name,
			},
			Orderer: p,
			Log:     log,
		}
		group.Go(func() error { return r.Run(ctx) })
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

func newPlacement() *placement {
	return &placement{
		noStore:  make(map[identifier.Instance]bool),
		attempts: make(map[identifier.Instance]int),
	}
}

// TestAllInstancesAskForLease guards against a fleet in which every instance asks the
// store for the placement lease, twice a second, while an endpoint loads its layers.
func TestAllInstancesAskForLease(t *testing.T) {
	for _, n := range []int{9, 60, 195} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlacement()
			const period = 8 * time.Second
			play(t, p, n, period)
			if p.orders == 0 {
				t.Errorf("%d instances: got no order", n)
			}
			// The owner, and those whose turn has come.
			if got, want := len(p.attempts), 1+int(period/(3*time.Second)); got > want {
				t.Errorf("%d instances: got %d that asked for the lease, want %d at most", n, got, want)
			}
		})
	}
}

// TestNobodyPlacesWithoutOwner guards against endpoints that stay empty because the
// pool's owner does not reach the store.
func TestNobodyPlacesWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newPlacement()
		play(t, first, 60, 2*time.Second)
		p := newPlacement()
		p.noStore[first.holder] = true
		play(t, p, 60, 6*time.Second)
		if p.orders == 0 {
			t.Error("got no order without the owner")
		}
		if p.holder == first.holder {
			t.Errorf("holder: got %s, which does not reach the store", p.holder)
		}
	})
}

// TestOrderAfterLeaseRanOut guards against an order that is given by an instance whose
// lease ran out while it was paused or waited for the endpoint's state.
func TestOrderAfterLeaseRanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacement()
		p.reportDelay = leaseTerm + time.Second
		play(t, p, 1, 4*leaseTerm)
		if got, want := p.orders, 0; got != want {
			t.Errorf("orders under a lease that ran out: got %d, want %d", got, want)
		}
		if p.attempts[p.holder] == 0 {
			t.Error("the lease was never held")
		}
	})
}
