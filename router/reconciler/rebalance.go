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

// restartTime is how long an endpoint that has left the list may take to restart. It
// then holds no layers and gets those that are missing.
const restartTime = 3 * time.Second

// proposal is a move that would cover layers that nobody in a data centre holds, and
// since when it is proposed.
type proposal struct {
	dataCentre identifier.DataCentre
	layers     placer.Range
	since      time.Time
}

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
// cover layers that no endpoint of its group of data centres holds. While other groups
// hold them, it first lets an endpoint restart: the one that is moved serves no requests
// until its streams have ended and its load is done.
func (r *Reconciler) rebalance(ctx context.Context, v *publisher.View, s identifier.Service, e *cataloguer.Engine, fleet []cataloguer.Endpoint) {
	if current, ok := r.pendingMoves[s]; ok && !current.finished(fleet) {
		return
	}
	delete(r.pendingMoves, s)
	move, ok := placer.Rebalance(e, fleet)
	if !ok {
		delete(r.plannedSince, s)
		delete(r.proposals, s)
		return
	}
	if since := r.propose(s, move); placer.Covers(e, fleet) && time.Since(since) < restartTime {
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

// propose records a move and returns since when it is proposed.
func (r *Reconciler) propose(s identifier.Service, m placer.Move) time.Time {
	p := r.proposals[s]
	if p.dataCentre != m.Endpoint.DataCentre || p.layers != m.Layers {
		p = proposal{
			dataCentre: m.Endpoint.DataCentre,
			layers:     m.Layers,
			since:      time.Now(),
		}
		r.proposals[s] = p
	}
	return p.since
}
