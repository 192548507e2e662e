// Package reconciler orders endpoints to load the layers that the placer assigns to
// them. Only one instance at a time sends orders: the holder of a lease in the
// platform's store.
package reconciler

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/placer"
	"heatherhold.dev/router/publisher"
)

// Lease is a lease that one instance at a time holds.
type Lease interface {
	// Acquire acquires or renews the lease. It returns the time until which the lease
	// is guaranteed to be held, by this process's monotonic clock, and the lease's
	// fencing token.
	Acquire(ctx context.Context) (time.Time, identifier.Fence, error)
}

// Orderer sends placement orders to endpoints and reads their reports.
type Orderer interface {
	Place(ctx context.Context, p director.Placement) error
	Report(ctx context.Context, address string) (director.Report, error)
}

const (
	// reconcileInterval is how often the fleet is compared with the plan.
	reconcileInterval = 250 * time.Millisecond
	// orderVisibilityDelay is how long after an order the endpoint list may still
	// show the state before it.
	orderVisibilityDelay = 3 * time.Second
	// maxConcurrentOrders limits how many orders are sent concurrently.
	maxConcurrentOrders = 8
	// stableTime is how long the size of a fleet that holds no layers must stay
	// unchanged before layers are assigned to it.
	stableTime = time.Second
)

// Reconciler plans placements and sends the orders for them. Set the exported fields
// before Run.
type Reconciler struct {
	Publisher *publisher.Publisher
	Lease     Lease
	Orderer   Orderer
	// OnPlaced, if not nil, is called for each order that an endpoint has accepted.
	OnPlaced func()
	Log      logrus.FieldLogger

	// recentOrders maps each endpoint that was recently sent an order to the layers
	// it was ordered to hold and the time of the order.
	recentOrders     map[identifier.EndpointIncarnation]targetOrder
	leaseExpiry      time.Time
	fence            identifier.Fence
	lastLeaseFailure time.Time
	// fleetSizes has, for each service, the number of its endpoints and the time
	// since which it is unchanged. It is updated only while no endpoint holds layers.
	fleetSizes map[identifier.Service]fleetSize
	// relocations has, for each service, the endpoint that is changing its layers.
	relocations map[identifier.Service]relocation
}

// fleetSize is the size of a fleet and the time since which it is unchanged.
type fleetSize struct {
	size  int
	since time.Time
}

// targetOrder is the layers that an endpoint was ordered to hold, and when.
type targetOrder struct {
	layers    placer.Range
	orderedAt time.Time
}

// Run compares the endpoints with the plan and sends the missing orders until ctx is
// done.
func (c *Reconciler) Run(ctx context.Context) error {
	c.recentOrders = make(map[identifier.EndpointIncarnation]targetOrder)
	c.fleetSizes = make(map[identifier.Service]fleetSize)
	c.relocations = make(map[identifier.Service]relocation)
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		c.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// reconcile sends the orders that are needed to reach the plan.
func (c *Reconciler) reconcile(ctx context.Context) {
	v := c.Publisher.View()
	if v.Site == nil || c.Publisher.Stopping() {
		return
	}
	c.expireOrders()
	for name, s := range v.Site.Services {
		if s.Engine == nil || s.Engine.Layers == 0 {
			continue
		}
		fleet := c.expectedFleet(v.Fleet[name])
		if !c.readyToPlan(name, fleet) {
			continue
		}
		plan := placer.Plan(s.Engine, fleet)
		if len(plan) > 0 {
			c.applyPlan(ctx, fleet, plan)
			continue
		}
		c.rebalance(ctx, name, s.Engine, fleet)
	}
}

// readyToPlan reports whether layers can be assigned to a fleet: some endpoint already
// holds layers, or the size of the fleet has not changed for stableTime.
func (c *Reconciler) readyToPlan(s identifier.Service, fleet []cataloguer.Endpoint) bool {
	if slices.ContainsFunc(fleet, func(p cataloguer.Endpoint) bool { return p.HoldsLayers() }) {
		return true
	}
	g, ok := c.fleetSizes[s]
	if !ok || g.size != len(fleet) {
		c.fleetSizes[s] = fleetSize{
			size:  len(fleet),
			since: time.Now(),
		}
		return false
	}
	return time.Since(g.since) >= stableTime
}

// expireOrders drops the orders whose effect the endpoint list must show by now, and
// with them those to endpoints that are gone.
func (c *Reconciler) expireOrders() {
	for l, o := range c.recentOrders {
		if time.Since(o.orderedAt) > orderVisibilityDelay {
			delete(c.recentOrders, l)
		}
	}
}

// expectedFleet returns the fleet as it will be once the recent orders are carried out.
func (c *Reconciler) expectedFleet(fleet []cataloguer.Endpoint) []cataloguer.Endpoint {
	out := make([]cataloguer.Endpoint, len(fleet))
	copy(out, fleet)
	for i := range out {
		o, ok := c.recentOrders[out[i].EndpointIncarnation]
		if ok && !out[i].HoldsLayers() {
			out[i].From = o.layers.From
			out[i].To = o.layers.To
		}
	}
	return out
}

// applyPlan sends the orders of the plan if this instance holds the lease.
func (c *Reconciler) applyPlan(ctx context.Context, fleet []cataloguer.Endpoint, plan map[identifier.EndpointIncarnation]placer.Range) {
	if !c.holdLease(ctx) {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentOrders)
	for _, p := range fleet {
		r, ok := plan[p.EndpointIncarnation]
		if !ok {
			continue
		}
		c.recentOrders[p.EndpointIncarnation] = targetOrder{
			layers:    r,
			orderedAt: time.Now(),
		}
		group.Go(func() error {
			c.placeOrder(ctx, p, r)
			return nil
		})
	}
	// Failed orders are logged and sent again later. No other errors can occur.
	_ = group.Wait()
}

// leaseRetryInterval is how long an instance waits after a failed attempt to acquire
// the lease, which is usually held by another instance.
const leaseRetryInterval = 500 * time.Millisecond

// holdLease reports whether this instance holds the lease. It acquires or renews the
// lease if necessary.
func (c *Reconciler) holdLease(ctx context.Context) bool {
	now := time.Now()
	if now.Before(c.leaseExpiry) {
		return true
	}
	if now.Sub(c.lastLeaseFailure) < leaseRetryInterval {
		return false
	}
	until, fence, err := c.Lease.Acquire(ctx)
	if err != nil {
		c.lastLeaseFailure = now
		if !errors.Is(err, director.ErrLeaseHeld) {
			c.Log.WithError(err).Warn("lease for placement orders not taken")
		}
		return false
	}
	if fence != c.fence {
		c.Log.WithField("fence", fence).Info("lease for placement orders taken")
	}
	c.leaseExpiry = until
	c.fence = fence
	return now.Before(until)
}

// placeOrder sends one order to an endpoint that is not busy, if the lease is still held.
func (c *Reconciler) placeOrder(ctx context.Context, p cataloguer.Endpoint, r placer.Range) {
	log := c.Log.WithField("endpoint", p.Endpoint).WithField("from", r.From).WithField("to", r.To)
	report, err := c.Orderer.Report(ctx, p.Address)
	if err != nil {
		log.WithError(err).Warn("endpoint not asked for its state; no order given")
		return
	}
	if report.Busy || !time.Now().Before(c.leaseExpiry) {
		return
	}
	err = c.Orderer.Place(ctx, director.Placement{
		Endpoint: p.Endpoint,
		Address:  p.Address,
		From:     r.From,
		To:       r.To,
		Expected: report.Orders,
		Fence:    c.fence,
	})
	if err != nil {
		log.WithError(err).Warn("placement order not confirmed")
		return
	}
	if c.OnPlaced != nil {
		c.OnPlaced()
	}
	log.WithField("fence", c.fence).Info("placement ordered")
}
