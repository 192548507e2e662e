package reconciler

import (
	"context"
	"maps"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/placer"
	"heatherhold.dev/router/publisher"
)

// lostAfter is how many questions in a row an endpoint that broke streams must leave
// unanswered to be lost.
const lostAfter = 2

// withoutLost returns the fleet without the endpoints that are lost: they broke streams
// and don't answer, though the list still shows them. Endpoints are asked only while
// there are layers to place or nobody else holds theirs.
func (r *Reconciler) withoutLost(ctx context.Context, s identifier.Service, e *cataloguer.Engine, fleet []cataloguer.Endpoint) []cataloguer.Endpoint {
	if r.Failed == nil {
		return fleet
	}
	failed, err := r.Failed(ctx, s)
	if err != nil {
		r.Log.WithError(err).Debug("endpoints that broke streams not known")
		return fleet
	}
	suspects := slices.DeleteFunc(slices.Clone(fleet), func(o cataloguer.Endpoint) bool {
		return !o.HoldsLayers() || !failed[o.EndpointIncarnation]
	})
	if len(suspects) == 0 || !needsLayers(e, fleet, failed) {
		return fleet
	}
	r.question(ctx, suspects)
	return slices.DeleteFunc(slices.Clone(fleet), func(o cataloguer.Endpoint) bool {
		return failed[o.EndpointIncarnation] && r.unanswered[o.EndpointIncarnation] >= lostAfter
	})
}

// needsLayers reports whether an endpoint of the fleet holds no layers, or some layers
// have no holder but those that failed.
func needsLayers(e *cataloguer.Engine, fleet []cataloguer.Endpoint, failed map[identifier.EndpointIncarnation]bool) bool {
	if slices.ContainsFunc(fleet, func(o cataloguer.Endpoint) bool { return !o.HoldsLayers() }) {
		return true
	}
	return !placer.Covers(e, slices.DeleteFunc(slices.Clone(fleet), func(o cataloguer.Endpoint) bool {
		return failed[o.EndpointIncarnation]
	}))
}

// question asks endpoints for their state, and counts for each how many questions in a
// row it has not answered.
func (r *Reconciler) question(ctx context.Context, endpoints []cataloguer.Endpoint) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentOrders)
	for _, o := range endpoints {
		group.Go(func() error {
			_, err := r.Orderer.Report(ctx, o.Address)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				delete(r.unanswered, o.EndpointIncarnation)
				return nil
			}
			r.unanswered[o.EndpointIncarnation]++
			if r.unanswered[o.EndpointIncarnation] == lostAfter {
				r.Log.WithError(err).WithField("endpoint", o.Endpoint).Warn("endpoint is lost though it is listed")
			}
			return nil
		})
	}
	// The functions return no errors: an endpoint that does not answer is counted.
	_ = group.Wait()
}

// forgetUnlisted drops the counts of endpoints that have left the list.
func (r *Reconciler) forgetUnlisted(v *publisher.View) {
	if len(r.unanswered) == 0 {
		return
	}
	listed := v.Incarnations()
	maps.DeleteFunc(r.unanswered, func(incarnation identifier.EndpointIncarnation, _ int) bool { return !listed[incarnation] })
}
