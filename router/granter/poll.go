package granter

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/driver"
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/scheduler"
)

const (
	pollInterval     = 200 * time.Millisecond
	pollTimeout      = 300 * time.Millisecond
	maxParallelPolls = 32
	// staleAfter is how long an endpoint's last state is used if it does not respond
	// again.
	staleAfter = time.Second
)

// endpointState is an endpoint's last reported state and when it was requested.
type endpointState struct {
	state       driver.State
	dataCentre  identifier.DataCentre
	requestedAt time.Time
}

// poll requests the state of the endpoints of all pools.
func (g *Granter) poll(ctx context.Context) {
	services, err := executor.Get(ctx, g.Loop, func() map[identifier.Service]bool {
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
	v := g.Publisher.View()
	endpoints := v.Endpoints[s]
	states := make([]endpointState, len(endpoints))
	var group errgroup.Group
	group.SetLimit(maxParallelPolls)
	for i, e := range endpoints {
		group.Go(func() error {
			states[i] = g.fetchState(ctx, e)
			return nil
		})
	}
	// The functions return no errors: an endpoint that does not respond leaves a
	// zero state, which applyStates skips.
	_ = group.Wait()
	g.Loop.Post(func() { g.applyStates(time.Now(), s, states) })
}

func (g *Granter) fetchState(ctx context.Context, e publisher.Endpoint) endpointState {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	requestedAt := time.Now()
	state, err := g.Engine.State(ctx, e.Address)
	if err != nil {
		g.Log.WithError(err).WithField("endpoint", e.Endpoint).Debug("endpoint gave no state")
		if ctx.Err() != nil {
			g.Engine.CloseIdle(e.Address)
		}
		return endpointState{}
	}
	return endpointState{
		state:       state,
		dataCentre:  e.DataCentre,
		requestedAt: requestedAt,
	}
}

// applyStates applies the polled states to the pools of service s. It runs on the
// control loop.
func (g *Granter) applyStates(now time.Time, s identifier.Service, states []endpointState) {
	liveInstances := len(g.Publisher.View().Live)
	for _, standalone := range []bool{false, true} {
		key := Key{
			Service:    s,
			Standalone: standalone,
		}
		p, ok := g.pools[key]
		if !ok {
			continue
		}
		for _, e := range states {
			if !e.requestedAt.IsZero() {
				p.states[e.state.EndpointIncarnation] = e
			}
		}
		p.runnersSet = true
		p.scheduler.SetRunners(p.reports(now, g, liveInstances))
		g.decide(now, p)
	}
}

// reports returns the reports of the endpoints that may get work. It deletes the
// states that are stale or whose endpoint is no longer listed, and calls MarkLeaving
// for endpoints that are leaving.
func (p *pool) reports(now time.Time, g *Granter, liveInstances int) []scheduler.Report {
	var reports []scheduler.Report
	listed := make(map[identifier.Endpoint]bool)
	for _, e := range g.Publisher.View().Endpoints[p.key.Service] {
		listed[e.Endpoint] = true
	}
	for incarnation, e := range p.states {
		if now.Sub(e.requestedAt) > staleAfter || !listed[incarnation.Endpoint] {
			delete(p.states, incarnation)
			continue
		}
		if e.state.Leaving {
			g.MarkLeaving(incarnation)
			continue
		}
		reports = append(reports, p.report(e, liveInstances))
	}
	return sortReports(reports)
}

func (p *pool) report(e endpointState, liveInstances int) scheduler.Report {
	slots := e.state.Slots
	if p.key.Standalone {
		slots = max(slots/max(liveInstances, 1), 1)
	}
	return scheduler.Report{
		Runner: planner.Runner{
			Stage:       e.state.Stage,
			DataCentre:  e.dataCentre,
			Slots:       slots,
			TokenTime:   time.Duration(e.state.TokenMicros) * time.Microsecond,
			PrefillTime: time.Duration(e.state.PrefillMicros) * time.Microsecond,
		},
		Reported: e.state.Running,
	}
}
