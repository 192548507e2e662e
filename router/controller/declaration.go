package controller

import (
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/proxier"
)

const (
	// maxWaitFactor is how long a request may wait for a chain, as a multiple of
	// its target time.
	maxWaitFactor = 2
	// defaultTarget is the target time of ranks for which no route sets one.
	defaultTarget = time.Second
	// queueLimit is the maximum number of one customer's requests that wait in a pool.
	queueLimit = 400
	// guaranteedShare is the share of a pool's tokens that is guaranteed to all
	// ranks together; it is divided equally between them.
	guaranteedShare = 0.3
)

// declarationOf converts a site's configuration to a declaration.
func declarationOf(site *cataloguer.Configuration) *declarer.Declaration {
	d := &declarer.Declaration{
		Rank:    make(map[identifier.Rank]declarer.Rank),
		Service: make(map[identifier.Service]declarer.Service),
	}
	targets := make(map[int]time.Duration)
	tokenIntervals := make(map[int]time.Duration)
	for _, r := range site.Routes {
		if !r.Streams {
			continue
		}
		keepMinimum(targets, r.Order, r.Target)
		keepMinimum(tokenIntervals, r.Order, r.Gap)
	}
	customerOnly := addCustomerOrders(site, targets)
	for order, target := range targets {
		if target <= 0 {
			target = defaultTarget
		}
		d.Rank[proxier.RankOf(order)] = declarer.Rank{
			Order:           order,
			FirstToken:      identifier.DurationOf(target),
			BetweenTokens:   identifier.DurationOf(tokenIntervals[order]),
			GuaranteedShare: guaranteedShare / float64(len(targets)),
			QueueLimit:      queueLimit,
			MaxWait:         identifier.DurationOf(maxWaitFactor * target),
			CustomerOnly:    customerOnly[order],
		}
	}
	for name, s := range site.Services {
		d.Service[name] = serviceDeclaration(s)
	}
	return d
}

// addCustomerOrders adds the orders that customers have and no route that streams, with
// the smallest target of these routes, and returns them. The targets and token intervals of
// such a customer's requests come from the promises of the routes, so that these ranks
// require no interval.
func addCustomerOrders(site *cataloguer.Configuration, targets map[int]time.Duration) map[int]bool {
	least := time.Duration(0)
	for _, target := range targets {
		if target > 0 && (least == 0 || target < least) {
			least = target
		}
	}
	added := make(map[int]bool)
	for _, customer := range site.Customers {
		if _, ok := targets[customer.Order]; !ok && customer.HasOrder {
			targets[customer.Order] = least
			added[customer.Order] = true
		}
	}
	return added
}

// keepMinimum stores d under order, the urgency, if it is the smallest value above
// 0 so far. A stored value of 0 or less is replaced by the next value.
func keepMinimum(minimums map[int]time.Duration, order int, d time.Duration) {
	old, ok := minimums[order]
	if !ok || old <= 0 || (d > 0 && d < old) {
		minimums[order] = d
	}
}

func serviceDeclaration(s cataloguer.Service) declarer.Service {
	if s.Engine == nil {
		return declarer.Service{Kind: declarer.Plain}
	}
	return declarer.Service{
		Kind:   declarer.Model,
		Layers: s.Engine.Layers,
	}
}
