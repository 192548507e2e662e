package granter

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/driver"
	"heatherhold.dev/router/looper"
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/scheduler"
)

const (
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 300 * time.Millisecond
	pollParallel = 32
	// stale is how long an endpoint counts without answering.
	stale = time.Second
)

// known is an endpoint's last report and when it was asked for.
type known struct {
	state      driver.State
	dataCentre identifier.DataCentre
	at         time.Time
}

// poll asks the endpoints of all pools for their state.
func (g *Granter) poll(ctx context.Context) {
	services, err := looper.Get(ctx, g.Loop, func() map[identifier.Service]bool {
		services := make(map[identifier.Service]bool)
		for key := range g.pools {
			services[key.Service] = true
		}
		return services
	})
	if err != nil {
		return
	}
	for s := range services {
		g.pollService(ctx, s)
	}
}

func (g *Granter) pollService(ctx context.Context, s identifier.Service) {
	v := g.Observer.View()
	endpoints := v.Endpoints[s]
	answers := make([]known, len(endpoints))
	var group errgroup.Group
	group.SetLimit(pollParallel)
	for i, e := range endpoints {
		group.Go(func() error {
			answers[i] = g.ask(ctx, e)
			return nil
		})
	}
	// Endpoints that don't answer are left out; there is no other error.
	_ = group.Wait()
	g.Loop.Post(func() { g.take(time.Now(), s, answers) })
}

func (g *Granter) ask(ctx context.Context, e observer.Endpoint) known {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	state, err := g.Engine.State(ctx, e.Address)
	if err != nil {
		g.Log.WithError(err).WithField("endpoint", e.Endpoint).Debug("endpoint gave no state")
		if ctx.Err() != nil {
			g.Engine.Forget(e.Address)
		}
		return known{}
	}
	return known{
		state:      state,
		dataCentre: e.DataCentre,
		at:         sent,
	}
}

// take brings answers into the pools. It runs on the control loop.
func (g *Granter) take(now time.Time, s identifier.Service, answers []known) {
	live := len(g.Observer.View().Live)
	for _, alone := range []bool{false, true} {
		key := Key{
			Service: s,
			Alone:   alone,
		}
		p, ok := g.pools[key]
		if !ok {
			continue
		}
		for _, a := range answers {
			if !a.at.IsZero() {
				p.known[a.state.Life] = a
			}
		}
		p.polled = true
		p.scheduler.SetRunners(p.reports(now, g, live))
		g.decide(now, p)
	}
}

// reports returns what is known of the endpoints that may get work.
func (p *pool) reports(now time.Time, g *Granter, live int) []scheduler.Report {
	var reports []scheduler.Report
	listed := make(map[identifier.Endpoint]bool)
	for _, e := range g.Observer.View().Endpoints[p.key.Service] {
		listed[e.Endpoint] = true
	}
	for life, k := range p.known {
		if now.Sub(k.at) > stale || !listed[life.Endpoint] {
			delete(p.known, life)
			continue
		}
		if k.state.Leaving {
			g.Leaving(life)
			continue
		}
		reports = append(reports, p.report(k, live))
	}
	return sorted(reports)
}

func (p *pool) report(k known, live int) scheduler.Report {
	slots := k.state.Slots
	if p.key.Alone {
		slots = max(slots/max(live, 1), 1)
	}
	return scheduler.Report{
		Runner: planner.Runner{
			Stage:       k.state.Stage,
			DataCentre:  k.dataCentre,
			Slots:       slots,
			TokenTime:   time.Duration(k.state.TokenMicros) * time.Microsecond,
			PrefillTime: time.Duration(k.state.PrefillMicros) * time.Microsecond,
		},
		Reported: k.state.Running,
	}
}
