package controller

import (
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/relayer"
)

const (
	// waitPart is how long a request may wait for a chain, in parts of its target.
	waitPart = 2
	// defaultTarget holds for ranks of which no route tells a target.
	defaultTarget = time.Second
	// queueLimit bounds the requests of one customer that wait in a pool.
	queueLimit = 400
	// guaranteed is the part of a pool's tokens that all ranks together keep for
	// themselves, in equal shares.
	guaranteed = 0.3
)

// declare returns what a site's configuration says in the terms of declarations.
func declare(site *cataloguer.Configuration) *declarer.Declaration {
	d := &declarer.Declaration{
		Rank:    make(map[identifier.Rank]declarer.Rank),
		Service: make(map[identifier.Service]declarer.Service),
	}
	targets := make(map[int]time.Duration)
	gaps := make(map[int]time.Duration)
	for _, r := range site.Routes {
		if !r.Streams {
			continue
		}
		least(targets, r.Order, r.Target)
		least(gaps, r.Order, r.Gap)
	}
	for _, u := range site.Customers {
		if u.HasOrder {
			least(targets, u.Order, 0)
		}
	}
	for order, target := range targets {
		if target <= 0 {
			target = defaultTarget
		}
		d.Rank[relayer.RankOf(order)] = declarer.Rank{
			Order:           order,
			FirstToken:      identifier.DurationOf(target),
			BetweenTokens:   identifier.DurationOf(gaps[order]),
			GuaranteedShare: guaranteed / float64(len(targets)),
			QueueLimit:      queueLimit,
			MaxWait:         identifier.DurationOf(waitPart * target),
		}
	}
	for name, s := range site.Services {
		d.Service[name] = service(s)
	}
	return d
}

// least keeps the smallest value above 0 of each urgency.
func least(m map[int]time.Duration, order int, d time.Duration) {
	old, ok := m[order]
	if !ok || old <= 0 || (d > 0 && d < old) {
		m[order] = d
	}
}

func service(s cataloguer.Service) declarer.Service {
	if s.Engine == nil {
		return declarer.Service{Kind: declarer.Plain}
	}
	return declarer.Service{
		Kind:   declarer.Model,
		Layers: s.Engine.Layers,
	}
}
