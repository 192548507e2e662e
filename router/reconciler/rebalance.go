package reconciler

import (
	"context"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/placer"
)

// relocationTimeout is how long an endpoint may take to change its layers before another
// one is relocated anyway.
const relocationTimeout = 15 * time.Second

// relocation is a change of an endpoint's layers that is in progress.
type relocation struct {
	incarnation identifier.EndpointIncarnation
	layers      placer.Range
	startedAt   time.Time
}

// finished reports whether the endpoint holds its new layers, is gone, or has exceeded
// relocationTimeout.
func (m relocation) finished(fleet []cataloguer.Endpoint) bool {
	if time.Since(m.startedAt) > relocationTimeout {
		return true
	}
	for _, p := range fleet {
		if p.EndpointIncarnation == m.incarnation {
			return p.From == m.layers.From && p.To == m.layers.To
		}
	}
	return true
}

// rebalance moves one endpoint at a time to layers that no endpoint near it holds.
func (c *Reconciler) rebalance(ctx context.Context, s identifier.Service, e *cataloguer.Engine, fleet []cataloguer.Endpoint) {
	if m, ok := c.relocations[s]; ok && !m.finished(fleet) {
		return
	}
	delete(c.relocations, s)
	move, ok := placer.Rebalance(e, fleet)
	if !ok || !c.holdLease(ctx) {
		return
	}
	c.relocations[s] = relocation{
		incarnation: move.Endpoint.EndpointIncarnation,
		layers:      move.Layers,
		startedAt:   time.Now(),
	}
	c.Log.WithField("endpoint", move.Endpoint.Endpoint).WithField("from", move.Layers.From).WithField("to", move.Layers.To).Info("endpoint is moved to layers that nobody holds")
	c.applyPlan(ctx, fleet, map[identifier.EndpointIncarnation]placer.Range{move.Endpoint.EndpointIncarnation: move.Layers})
}
