// Package conductor has endpoints hold what the placer plans. One instance at a
// time gives orders: the holder of a lease that lies in the platform's store.
package conductor

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
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/placer"
)

// Lease is held by one instance at a time.
type Lease interface {
	// Hold takes or renews the lease. It returns until when, by this process's
	// steady clock, the lease is surely held, and its fencing number.
	Hold(ctx context.Context) (time.Time, identifier.Fence, error)
}

// Orders gives orders to endpoints.
type Orders interface {
	Place(ctx context.Context, p director.Placement) error
	Report(ctx context.Context, address string) (director.Report, error)
}

const (
	// lookInterval is how often the fleet is compared with the plan.
	lookInterval = 250 * time.Millisecond
	// settleTime is how long after an order the list may still show the state before it.
	settleTime = 3 * time.Second
	// ordersAtOnce bounds the orders on their way.
	ordersAtOnce = 8
	// calm is for how long a fleet that holds nothing must not grow before it
	// is dealt out.
	calm = time.Second
)

// Conductor plans and orders. Set the exported fields before Run.
type Conductor struct {
	Observer *observer.Observer
	Lease    Lease
	Orders   Orders
	// Placed, if it is set, is called for each order that an endpoint has taken.
	Placed func()
	Log    logrus.FieldLogger

	// ordered has the endpoints that were given an order, what they should
	// hold, and when.
	ordered map[identifier.Life]intent
	until   time.Time
	fence   identifier.Fence
	refused time.Time
	// grown has, for each service, its endpoints' number and since when it stands.
	grown map[identifier.Service]growth
	// moving has, for each service, the endpoint that changes its layers.
	moving map[identifier.Service]movement
}

// growth is the size of a fleet and since when it has that.
type growth struct {
	size  int
	since time.Time
}

// intent is what an endpoint was ordered to hold.
type intent struct {
	layers placer.Range
	at     time.Time
}

// Run keeps endpoints to the plan until ctx ends.
func (c *Conductor) Run(ctx context.Context) error {
	c.ordered = make(map[identifier.Life]intent)
	c.grown = make(map[identifier.Service]growth)
	c.moving = make(map[identifier.Service]movement)
	t := time.NewTicker(lookInterval)
	defer t.Stop()
	for {
		c.look(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// look gives the orders that are missing now.
func (c *Conductor) look(ctx context.Context) {
	v := c.Observer.View()
	if v.Site == nil || c.Observer.Stopping() {
		return
	}
	c.forget()
	for name, s := range v.Site.Services {
		if s.Engine == nil || s.Engine.Layers == 0 {
			continue
		}
		fleet := c.expected(v.Fleet[name])
		if !c.settled(name, fleet) {
			continue
		}
		plan := placer.Plan(s.Engine, fleet)
		if len(plan) > 0 {
			c.carryOut(ctx, fleet, plan)
			continue
		}
		c.rebalance(ctx, name, s.Engine, fleet)
	}
}

// settled reports whether a fleet can be dealt out: some endpoint holds layers,
// or no endpoint has come for a while.
func (c *Conductor) settled(s identifier.Service, fleet []cataloguer.Endpoint) bool {
	if slices.ContainsFunc(fleet, func(p cataloguer.Endpoint) bool { return p.Holds() }) {
		return true
	}
	g, ok := c.grown[s]
	if !ok || g.size != len(fleet) {
		c.grown[s] = growth{
			size:  len(fleet),
			since: time.Now(),
		}
		return false
	}
	return time.Since(g.since) >= calm
}

// forget drops the orders to endpoints that are gone or whose order had time to show.
func (c *Conductor) forget() {
	for l, o := range c.ordered {
		if time.Since(o.at) > settleTime {
			delete(c.ordered, l)
		}
	}
}

// expected returns the fleet as it will be once the orders on their way are done.
func (c *Conductor) expected(fleet []cataloguer.Endpoint) []cataloguer.Endpoint {
	out := make([]cataloguer.Endpoint, len(fleet))
	copy(out, fleet)
	for i := range out {
		o, ok := c.ordered[out[i].Life]
		if ok && !out[i].Holds() {
			out[i].From = o.layers.From
			out[i].To = o.layers.To
		}
	}
	return out
}

// carryOut orders what the plan says, if the lease is held.
func (c *Conductor) carryOut(ctx context.Context, fleet []cataloguer.Endpoint, plan map[identifier.Life]placer.Range) {
	if !c.leads(ctx) {
		return
	}
	var group errgroup.Group
	group.SetLimit(ordersAtOnce)
	for _, p := range fleet {
		r, ok := plan[p.Life]
		if !ok {
			continue
		}
		c.ordered[p.Life] = intent{
			layers: r,
			at:     time.Now(),
		}
		group.Go(func() error {
			c.order(ctx, p, r)
			return nil
		})
	}
	// Orders that fail are logged and given anew; there is no other error.
	_ = group.Wait()
}

// retryLease is how long an instance waits that found the lease held.
const retryLease = 500 * time.Millisecond

// leads takes or renews the lease where that is due.
func (c *Conductor) leads(ctx context.Context) bool {
	now := time.Now()
	if now.Before(c.until) {
		return true
	}
	if now.Sub(c.refused) < retryLease {
		return false
	}
	until, fence, err := c.Lease.Hold(ctx)
	if err != nil {
		c.refused = now
		if !errors.Is(err, director.ErrHeld) {
			c.Log.WithError(err).Warn("lease for placement orders not taken")
		}
		return false
	}
	if fence != c.fence {
		c.Log.WithField("fence", fence).Info("lease for placement orders taken")
	}
	c.until = until
	c.fence = fence
	return now.Before(until)
}

// order gives one order.
func (c *Conductor) order(ctx context.Context, p cataloguer.Endpoint, r placer.Range) {
	log := c.Log.WithField("endpoint", p.Endpoint).WithField("from", r.From).WithField("to", r.To)
	report, err := c.Orders.Report(ctx, p.Address)
	if err != nil {
		log.WithError(err).Warn("endpoint not asked for its state; no order given")
		return
	}
	if report.Busy || !time.Now().Before(c.until) {
		return
	}
	err = c.Orders.Place(ctx, director.Placement{
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
	if c.Placed != nil {
		c.Placed()
	}
	log.WithField("fence", c.fence).Info("placement ordered")
}
