package scheduler

import (
	"math"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
)

// Report is what is known of one endpoint; its load lags.
type Report struct {
	planner.Runner
	// Reported is how many streams the endpoint said it runs.
	Reported int
}

type linkKey struct {
	from identifier.DataCentre
	to   identifier.DataCentre
}

// SetRunners replaces what is known of the pool's endpoints. Streams that the
// endpoint reports beyond the pool's own tickets count as another owner's.
func (p *Pool) SetRunners(reports []Report) {
	p.prepare()
	p.runners = p.runners[:0]
	clear(p.foreign)
	reading := make(map[identifier.Life]time.Time, len(reports))
	for _, r := range reports {
		reading[r.Life] = p.reading[r.Life]
	}
	p.reading = reading
	for _, r := range reports {
		p.runners = append(p.runners, r.Runner)
		p.foreign[r.Life] = max(r.Reported-p.loads[r.Life].streams, 0)
	}
}

// effective sets each runner's load; one that just failed counts as full, but
// for one stream that tries it again.
func (p *Pool) effective(now time.Time) {
	for i := range p.runners {
		r := &p.runners[i]
		l := p.loads[r.Life]
		r.Running = l.running() + p.foreign[r.Life]
		r.Held = l.tokens
		r.Backlog = max(p.reading[r.Life].Sub(now), 0)
		if f, ok := p.failed[r.Life]; ok {
			r.Running = max(r.Running, r.Slots-f.open(now, r.Slots))
		}
	}
}

// bump counts a stream that starts on a stage, and the time in which the stage
// reads its prompt.
func (p *Pool) bump(now time.Time, s identifier.Stage, part float64, f *flight) {
	r := p.runner(s.Life)
	if r == nil {
		return
	}
	r.Running = p.loads[s.Life].running() + p.foreign[s.Life]
	if p.try(now, s.Life, f.ask.Request) {
		r.Running = max(r.Running, r.Slots)
	}
	r.Held += partOf(f.tokens, part)
	read := partOf(time.Duration(f.ask.Prompt)*r.PrefillTime, part)
	p.reading[s.Life] = later(p.reading[s.Life], now).Add(read)
	r.Backlog = p.reading[s.Life].Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// plan chooses a chain for a; nil if there is none now.
func (p *Pool) plan(a Ask) []identifier.Stage {
	for i := range p.runners {
		p.runners[i].Cached = p.prefixes.cached(a.Prefix, p.runners[i].Life)
	}
	version := p.policy.Version
	if a.Version != "" {
		version = a.Version
	}
	if a.Moves != "" {
		return p.mend(a, version)
	}
	picked := planner.Best(p.runners, slowed{pool: p}, p.need(a, version))
	if picked == nil {
		return nil
	}
	chain := planner.Stages(p.runners, picked)
	if !planner.Check(chain, p.policy.Layers, version) {
		return nil
	}
	return chain
}

// need returns what a chain for a must do.
func (p *Pool) need(a Ask, version identifier.Version) planner.Need {
	return planner.Need{
		Layers:  p.policy.Layers,
		Partial: p.policy.Partial,
		Version: version,
		Prompt:  a.Prompt,
		Output:  identifier.Tokens(math.Ceil(p.predict(a))),
		Entry:   a.Entry,
		Avoid:   a.Avoid,
	}
}

// mend returns the chain of a request in flight with other stages in place of
// those that it avoids, or that are gone; nil if that can't be.
func (p *Pool) mend(a Ask, version identifier.Version) []identifier.Stage {
	f, ok := p.flights[a.Moves]
	if !ok {
		return nil
	}
	chain := planner.Mend(p.runners, slowed{pool: p}, p.need(a, version), f.chain)
	if !planner.Check(chain, p.policy.Layers, version) {
		return nil
	}
	return chain
}

// meets reports whether a chain, with all slots in use, makes tokens at the
// target of class c. Of an endpoint's layers only those in the chain count.
func (p *Pool) meets(c *class, chain []identifier.Stage) bool {
	target := c.rank.BetweenTokens.Std()
	total := time.Duration(0)
	links := slowed{pool: p}
	for i, s := range chain {
		r := p.runner(s.Life)
		if r == nil {
			return false
		}
		total += partOf(r.TokenTime, p.part(s))
		if i > 0 {
			if before := p.runner(chain[i-1].Life); before != nil {
				total += links.Delay(before.DataCentre, r.DataCentre)
			}
		}
	}
	return total <= target
}

// full reports whether no chain has a free slot for a request that avoids nothing.
func (p *Pool) full() bool {
	return p.plan(Ask{}) == nil
}

// covered reports whether some chain covers every layer, busy or not.
func (p *Pool) covered() bool {
	return planner.Capacity(p.runners, p.policy.Layers, p.policy.Version) > 0
}

// estimate predicts how long a request would wait behind the work that goes
// before it, at the rate that the pool can make.
func (p *Pool) estimate(now time.Time, c *class, e *entry) time.Duration {
	rate := planner.Capacity(p.runners, p.policy.Layers, p.policy.Version)
	p.effective(now)
	if rate <= 0 || !p.full() {
		return 0
	}
	ahead := p.ahead(c, e)
	return time.Duration(ahead / rate * float64(time.Second))
}

// ahead returns the tokens of the queued work that would be served before e.
func (p *Pool) ahead(c *class, e *entry) float64 {
	sum := 0.0
	guaranteed := 0.0
	for _, other := range p.order {
		if other == c {
			break
		}
		sum += other.queued
	}
	for _, other := range p.order {
		if other != c && other.waiting > 0 && !other.before(c) {
			guaranteed += other.guarantee
		}
	}
	sum += c.behind(e)
	sum /= math.Max(1-guaranteed, minWeight)
	if c.guarantee > 0 {
		sum = math.Min(sum, (c.behind(e))/c.guarantee)
	}
	return sum
}

// behind returns the tokens that c serves before e when customers take turns.
func (c *class) behind(e *entry) float64 {
	own := 0.0
	if u, ok := c.customers[e.ask.Customer]; ok {
		own = u.queued
	}
	weight := math.Max(e.ask.Weight, minWeight)
	sum := own
	for name, u := range c.customers {
		if name != e.ask.Customer {
			sum += math.Min(u.queued, (own+e.cost)*u.weight/weight)
		}
	}
	return sum
}

// slowed gives the links' delays as declared, times what was observed.
type slowed struct {
	pool *Pool
}

// Delay returns the expected delay of one hop.
func (s slowed) Delay(from, to identifier.DataCentre) time.Duration {
	var d time.Duration
	if s.pool.policy.Links != nil {
		d = s.pool.policy.Links.Delay(from, to)
	}
	extra := s.pool.slowdowns[linkKey{
		from: from,
		to:   to,
	}]
	return d + time.Duration(extra)
}

// Transfer returns the time of a whole prompt between two data centres.
func (s slowed) Transfer(from, to identifier.DataCentre, prompt identifier.Tokens) time.Duration {
	pipes, ok := s.pool.policy.Links.(planner.Pipes)
	if !ok {
		return 0
	}
	return pipes.Transfer(from, to, prompt)
}

// slowdownGain is how fast an observed slowdown of a link is believed.
const slowdownGain = 0.3

// observe blames the part of a gap that the stages don't explain on the links
// between data centres that the chain crossed.
func (p *Pool) observe(f *flight, o Outcome) {
	if o.Gap <= 0 {
		return
	}
	expected := time.Duration(0)
	var crossed []linkKey
	at := f.ask.Entry
	for _, s := range f.chain {
		r := p.runner(s.Life)
		if r == nil {
			return
		}
		expected += r.TokenTime
		if r.DataCentre != at {
			crossed = append(crossed, linkKey{
				from: at,
				to:   r.DataCentre,
			})
		}
		at = r.DataCentre
	}
	if len(crossed) == 0 {
		return
	}
	excess := float64(max(o.Gap-expected, 0)) / float64(len(crossed))
	for _, k := range crossed {
		p.slowdowns[k] += slowdownGain * (excess - p.slowdowns[k])
	}
}

func (p *Pool) runner(l identifier.Life) *planner.Runner {
	for i := range p.runners {
		if p.runners[i].Life == l {
			return &p.runners[i]
		}
	}
	return nil
}
