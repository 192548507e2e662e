package proxier

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/mover"
)

const (
	// checkInterval is how often running streams are checked. It delays the notice of a
	// stall, and is a small part of it.
	checkInterval = 15 * time.Millisecond
	// probeTimeout limits the wait for an endpoint's report where no stream's pause limits it.
	probeTimeout = 60 * time.Millisecond
	// minProbeDelay is the delay before an endpoint that was not considered failed is
	// probed again. It doubles while the endpoint stays suspected, up to maxProbeDelay.
	minProbeDelay = 300 * time.Millisecond
	maxProbeDelay = 2 * time.Second
	// minStalledStreams is how many streams through an endpoint must be stalled for
	// it to be suspected although others progress.
	minStalledStreams = 3
	// slowdownThreshold is the ratio of actual to expected processing time from which
	// a suspected endpoint is considered failed.
	slowdownThreshold = 4
	// failedDelay is the delay before an endpoint that was considered failed is
	// probed again.
	failedDelay = 500 * time.Millisecond
)

// Watch detects the endpoints that stall streams, until ctx is cancelled. An
// endpoint is suspected if every stream through it is stalled, or if several are
// and they are at least as many as those that progress. It is considered failed
// if it does not respond to a probe and all of its streams are still stalled, or
// if it reports that it is slow and is still suspected. Another chain is then looked
// for for each of its streams, which stay until there is one.
func (x *Proxier) Watch(ctx context.Context) error {
	w := &watcher{
		proxier: x,
		probes:  make(map[identifier.EndpointIncarnation]probeSchedule),
	}
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	for {
		select {
		case <-ctx.Done():
			// The searches and the moves end with ctx and return no error.
			_ = w.searches.Wait()
			_ = x.turns.readings.Wait()
			return nil
		case now := <-t.C:
			w.check(ctx, now)
			if due := x.lostRuns.takeDue(now); len(due) > 0 {
				w.searches.Go(func() error {
					x.checkLostRuns(ctx, due)
					return nil
				})
			}
			for _, c := range x.tally.takeDue(now) {
				x.Reporter.CountCrash(string(c))
			}
		case <-cleanup.C:
			x.Balancer.Keep(x.Publisher.View().Incarnations())
		}
	}
}

// cleanupInterval is how often what is recorded of endpoints that are gone is dropped.
const cleanupInterval = time.Minute

// watcher is the state of Watch.
type watcher struct {
	proxier *Proxier
	probes  map[identifier.EndpointIncarnation]probeSchedule
	// searches are the moves of streams without progress and the searches for other chains
	// for them. They run in the background, so that a slow one delays no round of checks.
	searches errgroup.Group
}

// probeSchedule is when an endpoint may be probed again.
type probeSchedule struct {
	next  time.Time
	delay time.Duration
}

// progress counts the stalled and the progressing streams through one endpoint.
type progress struct {
	stage       identifier.Stage
	stalled     int
	progressing int
	// searching counts the stalled streams for which another chain is looked for.
	searching int
	// question limits the wait for the endpoint's report: the shortest limit of the stalled
	// streams.
	question time.Duration
}

// suspected reports whether the endpoint may have failed, because no stream
// through it progresses, or may be slow, because at least half of several streams
// are stalled.
func (p *progress) suspected() bool {
	if p == nil || p.stalled == 0 {
		return false
	}
	return p.progressing == 0 || (p.stalled >= minStalledStreams && p.stalled >= p.progressing)
}

// check probes the suspected endpoints and reroutes the streams around all that have
// failed. If none has, it reroutes the streams that the endpoints report as stalled.
func (w *watcher) check(ctx context.Context, now time.Time) {
	if !w.proxier.anyStalled(now) {
		clear(w.probes)
		return
	}
	before := w.proxier.progressByEndpoint(now)
	suspects := w.suspects(now, before)
	if len(suspects) == 0 {
		return
	}
	results := w.probe(ctx, suspects, before)
	answered := time.Now()
	after := w.proxier.progressByEndpoint(answered)
	var failures []*stageError
	for i, s := range suspects {
		reason := results[i].fault(after[s.EndpointIncarnation])
		if reason == "" {
			continue
		}
		w.probes[s.EndpointIncarnation] = probeSchedule{next: now.Add(failedDelay)}
		failures = append(failures, &stageError{
			incarnation: s.EndpointIncarnation,
			detail:      reason,
			noticedAt:   now,
			question:    answered.Sub(now),
		})
	}
	defer w.proxier.turns.start()
	if len(failures) > 0 {
		w.rerouteAround(ctx, failures)
		return
	}
	for _, result := range results {
		w.rerouteStalled(ctx, result.report, &stageError{
			detail:    "stalls the stream",
			noticedAt: now,
			question:  answered.Sub(now),
		})
	}
}

// suspects returns the suspected endpoints that are due for a probe, and deletes
// the probe schedules of endpoints that are no longer suspected.
func (w *watcher) suspects(now time.Time, streams map[identifier.EndpointIncarnation]*progress) []identifier.Stage {
	for incarnation := range w.probes {
		if !streams[incarnation].suspected() {
			delete(w.probes, incarnation)
		}
	}
	var out []identifier.Stage
	for incarnation, p := range streams {
		if !p.suspected() || p.stalled == p.searching || now.Before(w.probes[incarnation].next) {
			continue
		}
		delay := min(max(2*w.probes[incarnation].delay, minProbeDelay), maxProbeDelay)
		w.probes[incarnation] = probeSchedule{
			next:  now.Add(delay),
			delay: delay,
		}
		out = append(out, p.stage)
	}
	return out
}

// probeResult is an endpoint's response to a probe; err is set if there was none.
type probeResult struct {
	report director.Report
	err    error
}

// The reasons why an endpoint is considered failed.
const (
	// reasonUnresponsive is that of an endpoint that did not respond to a probe.
	reasonUnresponsive = "does not respond"
	// reasonSlow is that of an endpoint that reports that it is slow.
	reasonSlow = "is slow"
)

// fault returns the reason why an endpoint is considered failed, or an empty
// string if it is not. An endpoint that does not respond is not considered failed
// while a stream through it progresses.
func (r probeResult) fault(p *progress) string {
	switch {
	case r.err != nil && p != nil && p.stalled > 0 && p.progressing == 0:
		return reasonUnresponsive
	case r.err == nil && r.report.Slowdown >= slowdownThreshold && p.suspected():
		return reasonSlow
	}
	return ""
}

// probe requests reports from all stages concurrently. An endpoint is asked for as long as the
// pauses of its stalled streams allow.
func (w *watcher) probe(ctx context.Context, stages []identifier.Stage, streams map[identifier.EndpointIncarnation]*progress) []probeResult {
	results := make([]probeResult, len(stages))
	var group errgroup.Group
	for i, s := range stages {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, streams[s.EndpointIncarnation].question)
			defer cancel()
			results[i].report, results[i].err = w.proxier.Orderer.Report(ctx, s.Address)
			return nil
		})
	}
	// The error of a stage that does not respond is in its element of results.
	_ = group.Wait()
	return results
}

// anyStalled reports whether a stream is stalled. It costs less than counting by endpoint, which
// is not needed as long as nothing is wrong.
func (x *Proxier) anyStalled(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for a := range x.active {
		if a.state(now) == stateStalled {
			return true
		}
	}
	return false
}

// progressByEndpoint counts, for each endpoint, the stalled and the progressing
// streams through it.
func (x *Proxier) progressByEndpoint(now time.Time) map[identifier.EndpointIncarnation]*progress {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make(map[identifier.EndpointIncarnation]*progress)
	for a := range x.active {
		state := a.state(now)
		if state == stateUnknown {
			continue
		}
		for _, s := range a.chain() {
			p, ok := out[s.EndpointIncarnation]
			if !ok {
				p = &progress{
					stage:    s,
					question: probeTimeout,
				}
				out[s.EndpointIncarnation] = p
			}
			if state == stateProgressing {
				p.progressing++
				continue
			}
			p.stalled++
			p.question = min(p.question, a.question())
			if a.searching.Load() {
				p.searching++
			}
		}
	}
	return out
}

// streamState is what the events of a stream indicate about its chain.
type streamState int

const (
	stateUnknown streamState = iota
	stateStalled
	stateProgressing
)

// state returns the state of the stream at now. Before the first event the state
// is unknown until a threshold has passed, because the prompt is being processed. So it is
// while a new stage reads the prompt after a move.
func (a *attempt) state(now time.Time) streamState {
	route := a.stream.job.Route
	latest := a.lastEventAt.Load()
	if latest != nil && now.Sub(*latest) <= time.Duration(a.stallAfter.Load()) {
		return stateProgressing
	}
	if latest == nil && now.Sub(a.startedAt) <= mover.FirstNotice(route.Target) {
		return stateUnknown
	}
	if moved := a.movedAt.Load(); moved != nil && (latest == nil || moved.After(*latest)) && now.Sub(*moved) <= mover.Reading(route.Gap) {
		return stateUnknown
	}
	return stateStalled
}

// question returns how long the endpoints of the attempt's chain are waited for when they are
// asked for a report.
func (a *attempt) question() time.Duration {
	if a.lastEventAt.Load() == nil {
		return probeTimeout
	}
	return mover.Question(a.stream.job.Route.Gap)
}

// recordEventTime records that an event was received at now.
func (a *attempt) recordEventTime(now time.Time) {
	longest := a.stream.job.Route.Gap
	if last := a.lastEventAt.Load(); last != nil {
		a.pace.Add(now.Sub(*last), longest)
	}
	a.stallAfter.Store(int64(mover.Notice(longest, a.pace)))
	a.lastEventAt.Store(&now)
}

func (x *Proxier) addActive(a *attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.active == nil {
		x.active = make(map[*attempt]bool)
	}
	x.active[a] = true
}

func (x *Proxier) removeActive(a *attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.active, a)
}

// activeAttempts returns the active attempts for which match returns true.
func (x *Proxier) activeAttempts(match func(*attempt) bool) []*attempt {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []*attempt
	for a := range x.active {
		if match(a) {
			out = append(out, a)
		}
	}
	return out
}

// passesThrough reports whether the attempt's chain includes the endpoint
// incarnation.
func (a *attempt) passesThrough(incarnation identifier.EndpointIncarnation) bool {
	return contains(a.chain(), incarnation)
}

// contains reports whether a chain includes the endpoint incarnation.
func contains(chain []identifier.Stage, incarnation identifier.EndpointIncarnation) bool {
	return slices.ContainsFunc(chain, func(s identifier.Stage) bool { return s.EndpointIncarnation == incarnation })
}

// rerouteAround reroutes every attempt whose chain includes an endpoint that failed, around
// all of them that the chain includes.
func (w *watcher) rerouteAround(ctx context.Context, failures []*stageError) {
	x := w.proxier
	for _, f := range failures {
		attempts := x.activeAttempts(func(a *attempt) bool { return a.passesThrough(f.incarnation) })
		x.Log.WithField("endpoint", f.incarnation.Endpoint).WithField("reason", f.detail).WithField("streams", len(attempts)).Warn("endpoint given up for its streams")
		for _, a := range attempts {
			a.giveUp(f.incarnation)
		}
	}
	for _, f := range failures {
		w.reroute(ctx, x.activeAttempts(func(a *attempt) bool { return a.passesThrough(f.incarnation) }), f)
	}
}

// rerouteStalled reroutes the attempts that an endpoint reports as stalled by
// another stage; found is the cause, but for the stage.
func (w *watcher) rerouteStalled(ctx context.Context, report director.Report, found *stageError) {
	x := w.proxier
	for id, address := range report.Stalled {
		attempts := x.activeAttempts(func(a *attempt) bool { return a.stream.job.Request.ID == id })
		if len(attempts) == 0 {
			continue
		}
		incarnation := stageAt(attempts[0].chain(), address).EndpointIncarnation
		x.Log.WithField("endpoint", incarnation.Endpoint).WithField("request", id).Warn("endpoint holds a stream up")
		for _, a := range attempts {
			a.giveUp(incarnation)
		}
		cause := *found
		cause.incarnation = incarnation
		w.reroute(ctx, attempts, &cause)
	}
}

// reroute queues moves of the attempts around the stage that failed; they run in the background.
// It starts a search for another run for those that can't be moved now. Attempts with a search
// are left alone.
func (w *watcher) reroute(ctx context.Context, attempts []*attempt, cause *stageError) {
	for _, a := range attempts {
		if !a.searching.CompareAndSwap(false, true) {
			continue
		}
		own := a.queueMove()
		w.searches.Go(func() error {
			a.leave(ctx, cause, own)
			if !a.replaced() {
				// One that was replaced ends, and needs no further chain until then.
				a.searching.Store(false)
			}
			return nil
		})
	}
}

// stageAt returns the chain's stage with the address, or the first stage if there
// is none.
func stageAt(chain []identifier.Stage, address string) identifier.Stage {
	for _, s := range chain {
		if s.Address == address {
			return s
		}
	}
	return chain[0]
}
