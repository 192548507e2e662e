// Package reconciler compares the endpoints with the placer's plan and orders them to
// load the layers that the plan assigns to them. Only one instance at a time sends
// orders: the holder of a lease in the platform's store.
package reconciler

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/assigner"
	"heatherhold.dev/router/placer"
	"heatherhold.dev/router/publisher"
)

// Lease is a lease that one instance at a time holds.
type Lease interface {
	// Acquire acquires or renews the lease. It returns the time until which the lease
	// is guaranteed to be held, by this process's monotonic clock, and the lease's
	// fencing token.
	Acquire(ctx context.Context) (time.Time, identifier.Fence, error)
	// Valid reports whether the lease is held and its row was not lost meanwhile.
	Valid() bool
}

// Orderer sends placement orders to endpoints and reads their reports.
type Orderer interface {
	Place(ctx context.Context, p director.Placement) error
	Report(ctx context.Context, address string) (director.Report, error)
}

const (
	// reconcileInterval is the time between two comparisons of the fleet with the plan.
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
	Self      identifier.Instance
	Publisher *publisher.Publisher
	Lease     Lease
	Orderer   Orderer
	// Failed, if not nil, returns the endpoints of a service that broke a stream and have
	// delivered none since, as far as this instance knows.
	Failed func(ctx context.Context, s identifier.Service) (map[identifier.EndpointIncarnation]bool, error)
	// OnPlaced, if not nil, is called for each order that an endpoint has accepted.
	OnPlaced func()
	Log      logrus.FieldLogger

	// recentOrders has the order that was recently planned for each endpoint, even if
	// it was not sent.
	recentOrders     map[identifier.EndpointIncarnation]plannedOrder
	fence            identifier.Fence
	lastLeaseFailure time.Time
	// fleetSizes has, for each service, the number of its endpoints and the time
	// since which it is unchanged. It is updated only while no endpoint holds layers.
	fleetSizes map[identifier.Service]fleetSize
	// plannedSince has, for each service, since when its plan has had orders that are
	// not sent.
	plannedSince map[identifier.Service]time.Time
	// pendingMoves has, for each service, the move that is in progress.
	pendingMoves map[identifier.Service]pendingMove
	// proposals has, for each service, the move that was last proposed.
	proposals map[identifier.Service]proposal
	// unanswered has how many questions in a row an endpoint that broke streams has not
	// answered.
	unanswered map[identifier.EndpointIncarnation]int
}

// fleetSize is the size of a fleet and the time since which it is unchanged.
type fleetSize struct {
	size  int
	since time.Time
}

// plannedOrder is an order to hold layers, and when it was planned.
type plannedOrder struct {
	layers    placer.Range
	plannedAt time.Time
}

// Run compares the endpoints with the plan and sends the missing orders until ctx is
// done.
func (r *Reconciler) Run(ctx context.Context) error {
	r.recentOrders = make(map[identifier.EndpointIncarnation]plannedOrder)
	r.fleetSizes = make(map[identifier.Service]fleetSize)
	r.plannedSince = make(map[identifier.Service]time.Time)
	r.pendingMoves = make(map[identifier.Service]pendingMove)
	r.proposals = make(map[identifier.Service]proposal)
	r.unanswered = make(map[identifier.EndpointIncarnation]int)
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		r.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// reconcile sends the orders that are needed to reach the plan.
func (r *Reconciler) reconcile(ctx context.Context) {
	v := r.Publisher.View()
	if v.Site == nil || r.Publisher.Stopping() {
		return
	}
	r.expireOrders()
	r.forgetUnlisted(v)
	for name, s := range v.Site.Services {
		if s.Engine == nil || s.Engine.Layers == 0 {
			continue
		}
		fleet := r.withoutLost(ctx, name, s.Engine, r.expectedFleet(v.Fleet[name]))
		if !r.readyToPlan(name, fleet) {
			continue
		}
		plan := placer.Plan(s.Engine, fleet)
		if len(plan) > 0 {
			r.recordPlan(name)
			if r.takesPart(v, name) && r.needsLease(ctx, v, name, fleet, plan) {
				r.applyPlan(ctx, fleet, plan)
			}
			continue
		}
		r.rebalance(ctx, v, name, s.Engine, fleet)
	}
}

// readyToPlan reports whether layers can be assigned to a fleet: some endpoint already
// holds layers, or the size of the fleet has not changed for stableTime.
func (r *Reconciler) readyToPlan(s identifier.Service, fleet []cataloguer.Endpoint) bool {
	if slices.ContainsFunc(fleet, func(e cataloguer.Endpoint) bool { return e.HoldsLayers() }) {
		return true
	}
	last, ok := r.fleetSizes[s]
	if !ok || last.size != len(fleet) {
		r.fleetSizes[s] = fleetSize{
			size:  len(fleet),
			since: time.Now(),
		}
		return false
	}
	return time.Since(last.since) >= stableTime
}

// standbyDelay is how long a plan must have orders that are not sent before the next
// instance in line asks for the lease.
const standbyDelay = 3 * time.Second

// takesPart reports whether this instance may send the orders of a plan: the holder of
// the lease at once, since nobody else can, and otherwise the owner of the service's
// pool at once and each other that may own it once those before it in line have had
// standbyDelay each. If all instances asked for the lease, their calls to the store
// would grow with the fleet.
func (r *Reconciler) takesPart(v *publisher.View, s identifier.Service) bool {
	if r.Lease.Valid() {
		return true
	}
	rank, ok := assigner.Rank(s, v.Eligible, r.Self)
	return ok && time.Since(r.plannedSince[s]) >= time.Duration(rank)*standbyDelay
}

// needsLease reports whether this instance needs the lease for a plan. The list doesn't
// show a load in progress, so an instance other than the pool's owner first looks for an
// endpoint of the plan that has accepted no order yet.
func (r *Reconciler) needsLease(ctx context.Context, v *publisher.View, s identifier.Service, fleet []cataloguer.Endpoint, plan map[identifier.EndpointIncarnation]placer.Range) bool {
	if rank, ok := assigner.Rank(s, v.Eligible, r.Self); r.Lease.Valid() || ok && rank == 0 {
		return true
	}
	var unordered atomic.Bool
	var group errgroup.Group
	group.SetLimit(maxConcurrentOrders)
	for _, e := range fleet {
		if _, ok := plan[e.EndpointIncarnation]; !ok {
			continue
		}
		group.Go(func() error {
			report, err := r.Orderer.Report(ctx, e.Address)
			if err != nil {
				r.Log.WithError(err).WithField("endpoint", e.Endpoint).Debug("endpoint not asked for its state; no lease needed for it")
				return nil
			}
			if report.Orders == 0 {
				unordered.Store(true)
			}
			return nil
		})
	}
	// The functions return no errors: an endpoint that does not answer takes no order.
	_ = group.Wait()
	return unordered.Load()
}

// recordPlan records that the plan of a service has orders that are not sent.
func (r *Reconciler) recordPlan(s identifier.Service) {
	if _, ok := r.plannedSince[s]; !ok {
		r.plannedSince[s] = time.Now()
	}
}

// expireOrders drops the orders whose effect the endpoint list must show by now, and
// with them those to endpoints that are gone.
func (r *Reconciler) expireOrders() {
	for incarnation, o := range r.recentOrders {
		if time.Since(o.plannedAt) > orderVisibilityDelay {
			delete(r.recentOrders, incarnation)
		}
	}
}

// expectedFleet returns the fleet with the layers of recent orders filled in for the
// endpoints that hold none yet.
func (r *Reconciler) expectedFleet(fleet []cataloguer.Endpoint) []cataloguer.Endpoint {
	out := make([]cataloguer.Endpoint, len(fleet))
	copy(out, fleet)
	for i := range out {
		o, ok := r.recentOrders[out[i].EndpointIncarnation]
		if ok && !out[i].HoldsLayers() {
			out[i].From = o.layers.From
			out[i].To = o.layers.To
		}
	}
	return out
}

// applyPlan sends the orders of the plan if this instance holds the lease.
func (r *Reconciler) applyPlan(ctx context.Context, fleet []cataloguer.Endpoint, plan map[identifier.EndpointIncarnation]placer.Range) {
	if !r.holdLease(ctx) {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentOrders)
	for _, e := range fleet {
		layers, ok := plan[e.EndpointIncarnation]
		if !ok {
			continue
		}
		r.recentOrders[e.EndpointIncarnation] = plannedOrder{
			layers:    layers,
			plannedAt: time.Now(),
		}
		group.Go(func() error {
			r.placeOrder(ctx, e, layers)
			return nil
		})
	}
	// placeOrder logs its errors. Orders that were not carried out are planned again
	// later.
	_ = group.Wait()
}

// leaseRetryInterval is how long an instance waits after a failed attempt to acquire
// the lease, which is usually held by another instance.
const leaseRetryInterval = 500 * time.Millisecond

// holdLease reports whether this instance holds the lease. It acquires or renews the
// lease if necessary.
func (r *Reconciler) holdLease(ctx context.Context) bool {
	now := time.Now()
	if r.Lease.Valid() {
		return true
	}
	if now.Sub(r.lastLeaseFailure) < leaseRetryInterval {
		return false
	}
	_, fence, err := r.Lease.Acquire(ctx)
	if err != nil {
		r.lastLeaseFailure = now
		if !errors.Is(err, director.ErrLeaseHeld) {
			r.Log.WithError(err).Warn("lease for placement orders not taken")
		}
		return false
	}
	if fence != r.fence {
		r.Log.WithField("fence", fence).Info("lease for placement orders taken")
	}
	r.fence = fence
	return r.Lease.Valid()
}

// placeOrder sends one order to an endpoint that is not busy, if the lease is still held.
func (r *Reconciler) placeOrder(ctx context.Context, e cataloguer.Endpoint, layers placer.Range) {
	log := r.Log.WithField("endpoint", e.Endpoint).WithField("from", layers.From).WithField("to", layers.To)
	report, err := r.Orderer.Report(ctx, e.Address)
	if err != nil {
		log.WithError(err).Warn("endpoint not asked for its state; no order given")
		return
	}
	if report.Busy || !r.Lease.Valid() {
		return
	}
	err = r.Orderer.Place(ctx, director.Placement{
		Endpoint: e.Endpoint,
		Address:  e.Address,
		From:     layers.From,
		To:       layers.To,
		Expected: report.Orders,
		Fence:    r.fence,
	})
	if err != nil {
		log.WithError(err).Warn("placement order not confirmed")
		return
	}
	if r.OnPlaced != nil {
		r.OnPlaced()
	}
	log.WithField("fence", r.fence).Info("placement ordered")
}
