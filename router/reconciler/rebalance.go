package reconciler

import (
	"context"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/placer"
	"heatherhold.dev/router/publisher"
)

// moveTimeout is how long an endpoint may take to change its layers before another
// one may be moved anyway.
const moveTimeout = 15 * time.Second

// pendingMove is a change of an endpoint's layers that is in progress.
type pendingMove struct {
	incarnation identifier.EndpointIncarnation
	layers      placer.Range
	startedAt   time.Time
}

// finished reports whether the endpoint holds its new layers, is gone, or has exceeded
// moveTimeout.
func (m pendingMove) finished(fleet []cataloguer.Endpoint) bool {
	if time.Since(m.startedAt) > moveTimeout {
		return true
	}
	for _, e := range fleet {
		if e.EndpointIncarnation == m.incarnation {
			return e.From == m.layers.From && e.To == m.layers.To
		}
	}
	return true
}

// rebalance moves one endpoint of a service at a time, as placer.Rebalance proposes, to
// cover layers that no endpoint of its group of data centres holds.
func (r *Reconciler) rebalance(ctx context.Context, v *publisher.View, s identifier.Service, e *cataloguer.Engine, fleet []cataloguer.Endpoint) {
	if current, ok := r.pendingMoves[s]; ok && !current.finished(fleet) {
		return
	}
	delete(r.pendingMoves, s)
	move, ok := placer.Rebalance(e, fleet)
	if !ok {
		delete(r.plannedSince, s)
		return
	}
	r.recordPlan(s)
	if !r.takesPart(v, s) || !r.holdLease(ctx) {
		return
	}
	r.pendingMoves[s] = pendingMove{
		incarnation: move.Endpoint.EndpointIncarnation,
		layers:      move.Layers,
		startedAt:   time.Now(),
	}
	r.Log.WithField("endpoint", move.Endpoint.Endpoint).WithField("from", move.Layers.From).WithField("to", move.Layers.To).Info("endpoint is moved to layers that nobody holds")
	r.applyPlan(ctx, fleet, map[identifier.EndpointIncarnation]placer.Range{move.Endpoint.EndpointIncarnation: move.Layers})
}
