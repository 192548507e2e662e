package scheduler

import (
	"math"
	"slices"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/pacer"
	"heatherhold.dev/router/planner"
)

// Report is the last known state of one endpoint; its load may be out of date.
type Report struct {
	planner.Runner
	// Reported is the number of running streams that the endpoint reported.
	Reported int
}

type linkKey struct {
	from identifier.DataCentre
	to   identifier.DataCentre
}

// runnerState is what the pool itself knows about one endpoint incarnation.
type runnerState struct {
	// listed is set if the endpoint is in the last reports.
	listed bool
	// foreignStreams is the number of streams of other owners.
	foreignStreams int
	// load is the capacity that the pool's own tickets use.
	load    load
	failure failure
	// prefillUntil is when the endpoint will have processed the prompts assigned to it.
	prefillUntil time.Time
	// pace keeps the requests that start at the endpoint within the limit that it named.
	pace pacer.Bucket
}

// state returns the state of an endpoint, which it creates on first use.
func (p *Pool) state(incarnation identifier.EndpointIncarnation) *runnerState {
	s, ok := p.states[incarnation]
	if !ok {
		s = &runnerState{}
		p.states[incarnation] = s
	}
	return s
}

// forget deletes the state of an endpoint that is not listed, has no stream and has
// not failed.
func (p *Pool) forget(incarnation identifier.EndpointIncarnation) {
	s, ok := p.states[incarnation]
	if ok && !s.listed && s.load.streams <= 0 && !s.failure.failed() {
		delete(p.states, incarnation)
	}
}

// SetRunners replaces the known state of the pool's endpoints; it sorts reports. Streams that an
// endpoint reports beyond the pool's own tickets count as streams of another owner.
func (p *Pool) SetRunners(reports []Report) {
	p.prepare()
	for _, s := range p.states {
		s.listed = false
	}
	planner.SortByEnd(reports, func(r *Report) *planner.Runner { return &r.Runner })
	p.runners = p.runners[:0]
	p.runnerStates = p.runnerStates[:0]
	clear(p.runnerIndex)
	p.cached = p.cached[:0]
	for _, r := range reports {
		s := p.state(r.EndpointIncarnation)
		s.listed = true
		p.prefixes.SetMemory(r.EndpointIncarnation, r.MemoryTokens)
		s.foreignStreams = max(r.Reported-s.load.streams, 0)
		p.runnerIndex[r.EndpointIncarnation] = len(p.runners)
		p.runners = append(p.runners, r.Runner)
		p.runnerStates = append(p.runnerStates, s)
	}
	for incarnation, s := range p.states {
		if !s.listed {
			s.foreignStreams = 0
			s.prefillUntil = time.Time{}
			p.prefixes.Forget(incarnation)
			p.forget(incarnation)
		}
	}
	p.updateCapacity()
}

// SetLimit sets how many requests a second an endpoint takes as the first of a chain; 0
// ends the limit.
func (p *Pool) SetLimit(now time.Time, incarnation identifier.EndpointIncarnation, perSecond float64) {
	p.prepare()
	if p.runner(incarnation) == nil && perSecond <= 0 {
		return
	}
	p.state(incarnation).pace.Limit(now, perSecond)
	p.forget(incarnation)
}

// takePace records that a request is sent to an endpoint.
func (p *Pool) takePace(now time.Time, incarnation identifier.EndpointIncarnation) {
	pace := &p.state(incarnation).pace
	if !pace.Limited() {
		return
	}
	pace.Take(now)
	if r := p.runner(incarnation); r != nil {
		r.NotFirst = pace.Wait(now) > 0
	}
}

// paceWait returns how long a request behind n others waits for its turn at an endpoint
// that can be the first of a chain, if each of these has named a limit.
func (p *Pool) paceWait(n int) time.Duration {
	rate := 0.0
	for i, s := range p.runnerStates {
		if p.runners[i].From != 0 {
			continue
		}
		if !s.pace.Limited() {
			return 0
		}
		rate += s.pace.PerSecond()
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// updateCapacity calculates the token rate that the pool can sustain.
func (p *Pool) updateCapacity() {
	p.capacity = planner.Capacity(p.runners, p.policy.Layers, p.policy.Version)
	p.working = working{}
	p.pace.update(&p.policy, p.runners)
}

// working is the token rate that the endpoints that get work can sustain.
type working struct {
	capacity float64
	// paused has, for each runner, whether it got no work when the rate was calculated.
	paused []bool
}

// workingCapacity returns the token rate that the endpoints that get work at now can
// sustain; that of all if they don't hold every layer.
func (p *Pool) workingCapacity(now time.Time) float64 {
	paused := make([]bool, len(p.runners))
	for i, s := range p.runnerStates {
		paused[i] = s.failure.paused(now)
	}
	if !slices.Equal(paused, p.working.paused) {
		p.working = working{
			capacity: planner.Capacity(p.unpaused(paused), p.policy.Layers, p.policy.Version),
			paused:   paused,
		}
	}
	if p.working.capacity <= 0 {
		return p.capacity
	}
	return p.working.capacity
}

// unpaused returns the runners that are not paused.
func (p *Pool) unpaused(paused []bool) []planner.Runner {
	out := make([]planner.Runner, 0, len(p.runners))
	for i, r := range p.runners {
		if !paused[i] {
			out = append(out, r)
		}
	}
	return out
}

// updateLoads sets each runner's load at now. A runner that has just failed counts
// as full, except for one probe stream after its pause.
func (p *Pool) updateLoads(now time.Time) {
	p.cachedAt = now
	for i, s := range p.runnerStates {
		r := &p.runners[i]
		r.Running = s.load.usedSlots() + s.foreignStreams
		r.ReservedTokens = s.load.reservedTokens
		r.Backlog = max(s.prefillUntil.Sub(now), 0)
		r.NotFirst = s.pace.Wait(now) > 0
		if s.failure.failed() {
			r.Running = max(r.Running, r.Slots-s.failure.usableSlots(now, r.Slots))
		}
	}
}

// recordStart adds a stream that starts on a stage to the load of the stage's
// runner, and the time to process the stream's prompt to the runner's backlog.
func (p *Pool) recordStart(now time.Time, s identifier.Stage, fraction float64, active *activeRequest) {
	r := p.runner(s.EndpointIncarnation)
	if r == nil {
		return
	}
	state := p.state(s.EndpointIncarnation)
	r.Running = state.load.usedSlots() + state.foreignStreams
	if p.startProbe(now, s.EndpointIncarnation, active.ask.Request) {
		r.Running = max(r.Running, r.Slots)
	}
	r.ReservedTokens += scale(active.reservedTokens, fraction)
	prefill := scale(time.Duration(active.ask.Prompt)*r.PrefillTime, fraction)
	state.prefillUntil = later(state.prefillUntil, now).Add(prefill)
	r.Backlog = state.prefillUntil.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// plan chooses a chain for a; nil if none is available now.
func (p *Pool) plan(a Ask) []identifier.Stage {
	p.setCached(a)
	version := p.policy.Version
	if a.Version != "" {
		version = a.Version
	}
	if a.Repairs != "" {
		return p.repair(a, version)
	}
	picked := planner.Best(p.runners, observedLinks{pool: p}, p.need(a, version))
	if picked == nil {
		return nil
	}
	chain := planner.Stages(p.runners, picked)
	if !planner.Check(chain, p.policy.Layers, version) {
		return nil
	}
	return chain
}

// need returns the requirements of a chain for a.
func (p *Pool) need(a Ask, version identifier.Version) planner.Need {
	return planner.Need{
		Layers:  p.policy.Layers,
		Partial: p.policy.Partial,
		Version: version,
		Prompt:  a.Prompt,
		Output:  identifier.Tokens(math.Ceil(p.lengths.predict(a))),
		Entry:   a.Entry,
		Avoid:   a.Avoid,
	}
}

// unlimitedTokens is more than the size of any request.
const unlimitedTokens = identifier.Tokens(math.MaxInt64)

// planWaiting is plan for one of many waiting requests. Within a round of decisions
// endpoints only get fuller, so that a request that is not smaller than one that
// found no chain finds none either.
func (p *Pool) planWaiting(a Ask) []identifier.Stage {
	if a.Repairs != "" || a.Version != "" {
		return p.plan(a)
	}
	need := p.need(a, p.policy.Version)
	size := need.Tokens()
	if size >= p.unplaceable {
		return nil
	}
	chain := p.plan(a)
	if chain == nil && len(a.Avoid) == 0 {
		p.unplaceable = size
	}
	return chain
}

// repair returns the chain of an active request with replacements for the stages
// that a avoids or whose layers their endpoints no longer hold; nil if that is not
// possible.
func (p *Pool) repair(a Ask, version identifier.Version) []identifier.Stage {
	active, ok := p.active[a.Repairs]
	if !ok {
		return nil
	}
	chain := planner.Repair(p.runners, observedLinks{pool: p}, p.need(a, version), active.chain)
	if !planner.Check(chain, p.policy.Layers, version) {
		return nil
	}
	return chain
}

// meetsInterval reports whether a chain, with all slots in use, produces tokens at
// the given interval; every chain does if the interval is 0. Of an endpoint's layers,
// only those that the chain uses count.
func (p *Pool) meetsInterval(interval time.Duration, chain []identifier.Stage) bool {
	if interval <= 0 {
		return true
	}
	total := time.Duration(0)
	links := observedLinks{pool: p}
	for i, s := range chain {
		r := p.runner(s.EndpointIncarnation)
		if r == nil {
			return false
		}
		total += scale(r.TokenTime, p.layerFraction(s))
		if i > 0 {
			if previous := p.runner(chain[i-1].EndpointIncarnation); previous != nil {
				total += links.Delay(previous.DataCentre, r.DataCentre)
			}
		}
	}
	return total <= interval
}

// saturated reports whether no chain has a free slot, for a request that avoids no
// endpoint.
func (p *Pool) saturated() bool {
	return p.plan(Ask{}) == nil
}

// Covered reports whether endpoints of the declared version hold every layer, with
// or without free slots.
func (p *Pool) Covered() bool {
	return p.capacity > 0
}

// estimateWait predicts how long a request would wait for the queued work ahead of
// it, at the token rate that the pool can sustain.
func (p *Pool) estimateWait(now time.Time, c *class, w *waitingRequest) time.Duration {
	if w.ask.Promise != nil {
		return p.estimatePromisedWait(now, c, w)
	}
	ahead := p.tokensAhead(now, c, w, (*account).cost)
	if paced := p.paceWait(len(p.waiting)); paced > 0 {
		return paced
	}
	if p.capacity <= 0 || ahead <= 0 {
		return 0
	}
	p.updateLoads(now)
	if !p.saturated() {
		return 0
	}
	return time.Duration(ahead / p.workingCapacity(now) * float64(time.Second))
}

// tokensAhead returns the tokens of the queued work that would be served before w: of
// the classes before c, of c, and of the classes after c for their guaranteed shares.
// If c has a guaranteed share, the others get no more than that leaves them. cost returns
// which of the queued work of a customer of c counts.
func (p *Pool) tokensAhead(now time.Time, c *class, w *waitingRequest, cost func(*account) float64) float64 {
	factor := p.guaranteeFactor(now)
	sum := 0.0
	guaranteed := 0.0
	for _, other := range p.classOrder {
		if other == c {
			break
		}
		sum += other.queuedCost
	}
	for _, other := range p.classOrder {
		if other != c && other.waiting > 0 && !other.before(c) {
			guaranteed += factor * other.guarantee
		}
	}
	own := c.tokensBefore(w, cost)
	sum += own
	sum /= math.Max(1-guaranteed, minWeight)
	if c.guarantee > 0 {
		sum = math.Min(sum, own/(factor*c.guarantee))
	}
	return sum
}

// tokensBefore returns the tokens that c would serve before w if its customers are
// served in turn, in proportion to their weights.
func (c *class) tokensBefore(w *waitingRequest, cost func(*account) float64) float64 {
	own := 0.0
	if u, ok := c.customers[w.ask.Customer]; ok {
		own = cost(u)
	}
	weight := math.Max(w.ask.Weight, minWeight)
	sum := own
	for name, u := range c.customers {
		if name != w.ask.Customer {
			sum += math.Min(cost(u), (own+w.cost)*u.weight/weight)
		}
	}
	return sum
}

// observedLinks adds the observed extra delays to the declared delays of the links.
type observedLinks struct {
	pool *Pool
}

// Delay returns the expected delay of one hop.
func (l observedLinks) Delay(from, to identifier.DataCentre) time.Duration {
	var d time.Duration
	if l.pool.policy.Links != nil {
		d = l.pool.policy.Links.Delay(from, to)
	}
	extra := l.pool.extraDelays[linkKey{
		from: from,
		to:   to,
	}]
	return d + time.Duration(extra)
}

// TransferTime returns the cost, as a time, of transferring a whole prompt between
// two data centres.
func (l observedLinks) TransferTime(from, to identifier.DataCentre, prompt identifier.Tokens) time.Duration {
	links, ok := l.pool.policy.Links.(planner.TransferTimer)
	if !ok {
		return 0
	}
	return links.TransferTime(from, to, prompt)
}

// extraDelayGain is the smoothing factor of the observed extra delays of links.
const extraDelayGain = 0.3

// observeGap attributes the part of a token gap that the stages' token times don't
// explain to the links between data centres that the chain crosses.
func (p *Pool) observeGap(active *activeRequest, o Outcome) {
	if o.Gap <= 0 {
		return
	}
	expected := time.Duration(0)
	var crossed []linkKey
	current := active.ask.Entry
	for _, s := range active.chain {
		r := p.runner(s.EndpointIncarnation)
		if r == nil {
			return
		}
		expected += r.TokenTime
		if r.DataCentre != current {
			crossed = append(crossed, linkKey{
				from: current,
				to:   r.DataCentre,
			})
		}
		current = r.DataCentre
	}
	if len(crossed) == 0 {
		return
	}
	excess := float64(max(o.Gap-expected, 0)) / float64(len(crossed))
	for _, k := range crossed {
		p.extraDelays[k] += extraDelayGain * (excess - p.extraDelays[k])
	}
}

// runner returns the runner of an endpoint; nil if it is not listed.
func (p *Pool) runner(incarnation identifier.EndpointIncarnation) *planner.Runner {
	i, ok := p.runnerIndex[incarnation]
	if !ok {
		return nil
	}
	return &p.runners[i]
}
