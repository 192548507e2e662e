package scheduler

import (
	"math"
	"slices"
	"sort"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
)

type classKey struct {
	rank identifier.Rank
	tier identifier.Tier
}

// class is one tier of one rank: the customers that wait in it and what they
// have had.
type class struct {
	key classKey
	// rank has the terms in force; guarantee is the tier's.
	rank      declarer.Rank
	guarantee float64
	customers map[identifier.Customer]*account
	waiting   int
	queued    float64
	// floor is the least service of a customer that waits; a customer that
	// comes back starts from it and not from its old, lower account.
	floor    float64
	recent   float64
	recentAt time.Time
}

// account is one customer's place in a class.
type account struct {
	name   identifier.Customer
	weight float64
	// service is the tokens that the customer has had, for its weight.
	service float64
	queue   []*entry
	queued  float64
}

// classOf returns the class of a, made on first use.
func (p *Pool) classOf(a Ask) *class {
	key := classKey{
		rank: a.Rank,
		tier: a.Tier,
	}
	if c, ok := p.classes[key]; ok {
		return c
	}
	c := &class{
		key:       key,
		customers: make(map[identifier.Customer]*account),
	}
	c.configure(p.terms(a))
	p.classes[key] = c
	p.order = append(p.order, c)
	p.sortClasses()
	return c
}

// learnTerms puts what a tells of its rank in force, if the pool's policy does not
// know the rank: another ask may have told less, or by an older configuration.
func (p *Pool) learnTerms(c *class, a Ask) {
	if _, ok := p.policy.Ranks[a.Rank]; ok || a.Terms == nil || *a.Terms == c.rank {
		return
	}
	c.configure(*a.Terms)
	p.sortClasses()
}

// terms returns what holds for a's rank. The entry has admitted a by its own
// configuration, so a rank that the pool's policy does not know is no fault of a.
func (p *Pool) terms(a Ask) declarer.Rank {
	if rank, ok := p.policy.Ranks[a.Rank]; ok {
		return rank
	}
	if a.Terms != nil {
		return *a.Terms
	}
	return p.leastUrgent()
}

// leastUrgent returns the terms of the least urgent rank that is declared.
func (p *Pool) leastUrgent() declarer.Rank {
	var last declarer.Rank
	for _, r := range p.policy.Ranks {
		if r.Order >= last.Order {
			last = r
		}
	}
	return withoutShare(last)
}

// withoutShare returns terms that keep no part of the pool's tokens.
func withoutShare(r declarer.Rank) declarer.Rank {
	r.GuaranteedShare = 0
	r.FreeShare = 0
	return r
}

func (c *class) configure(rank declarer.Rank) {
	c.rank = rank
	c.guarantee = rank.GuaranteedShare
	if c.key.tier == identifier.Free {
		c.guarantee = rank.FreeShare
	}
}

func (p *Pool) sortClasses() {
	sort.SliceStable(p.order, func(i, j int) bool { return p.order[i].before(p.order[j]) })
}

// before sorts paying classes before free ones and urgent ones before others.
func (c *class) before(d *class) bool {
	if c.key.tier != d.key.tier {
		return c.key.tier == identifier.Paying
	}
	return c.rank.Order < d.rank.Order
}

// account returns a customer's account, made on first use.
func (c *class) account(name identifier.Customer, weight float64) *account {
	u, ok := c.customers[name]
	if !ok {
		u = &account{
			name:    name,
			service: c.floor,
		}
		c.customers[name] = u
	}
	u.weight = math.Max(weight, minWeight)
	return u
}

const minWeight = 1e-6

func (c *class) push(e *entry) {
	u := c.account(e.ask.Customer, e.ask.Weight)
	if len(u.queue) == 0 {
		u.service = math.Max(u.service, c.floor)
	}
	u.queue = append(u.queue, e)
	u.queued += e.cost
	c.waiting++
	c.queued += e.cost
	c.lift()
}

func (c *class) remove(e *entry) {
	u := c.customers[e.ask.Customer]
	i := slices.Index(u.queue, e)
	if i < 0 {
		return
	}
	u.queue = slices.Delete(u.queue, i, i+1)
	u.queued -= e.cost
	c.waiting--
	c.queued -= e.cost
}

// charge adds tokens to a customer's account; a correction may be negative.
func (c *class) charge(name identifier.Customer, weight, tokens float64) {
	u := c.account(name, weight)
	u.service += tokens / u.weight
	c.lift()
}

// lift raises the floor to the least service among customers that wait.
func (c *class) lift() {
	least := math.Inf(1)
	for _, u := range c.customers {
		if len(u.queue) > 0 {
			least = math.Min(least, u.service)
		}
	}
	if !math.IsInf(least, 1) {
		c.floor = math.Max(c.floor, least)
	}
}

func (c *class) length(name identifier.Customer) int {
	u, ok := c.customers[name]
	if !ok {
		return 0
	}
	return len(u.queue)
}

// heads returns each waiting customer's first request, least served first.
func (c *class) heads() []*entry {
	var waiting []*account
	for _, u := range c.customers {
		if len(u.queue) > 0 {
			waiting = append(waiting, u)
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		if waiting[i].service != waiting[j].service {
			return waiting[i].service < waiting[j].service
		}
		return waiting[i].name < waiting[j].name
	})
	heads := make([]*entry, 0, len(waiting))
	for _, u := range waiting {
		heads = append(heads, u.queue[0])
	}
	return heads
}

// expired takes out and returns what waited past its deadline.
func (c *class) expired(now time.Time) []*entry {
	var out []*entry
	for _, u := range c.customers {
		for _, e := range u.queue {
			if now.After(e.deadline) {
				out = append(out, e)
			}
		}
	}
	for _, e := range out {
		c.remove(e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ask.Request < out[j].ask.Request })
	return out
}

// add counts tokens towards the class's recent service.
func (c *class) add(now time.Time, tokens float64) {
	c.recent = math.Max(c.decayed(now)+tokens, 0)
	c.recentAt = now
}

func (c *class) decayed(now time.Time) float64 {
	return c.recent * math.Exp(-now.Sub(c.recentAt).Seconds()/recentWindow.Seconds())
}

// next returns the class whose turn it is among those that wait.
func (p *Pool) next(now time.Time, blocked map[*class]bool) *class {
	if c := p.owed(now, blocked); c != nil {
		return c
	}
	for _, c := range p.order {
		if c.waiting > 0 && !blocked[c] {
			return c
		}
	}
	return nil
}

// owed returns the waiting class that is furthest below its guaranteed share.
func (p *Pool) owed(now time.Time, blocked map[*class]bool) *class {
	total := 0.0
	for _, c := range p.order {
		total += c.decayed(now)
	}
	var best *class
	least := 1.0
	for _, c := range p.order {
		if c.waiting == 0 || blocked[c] || c.guarantee <= 0 {
			continue
		}
		met := c.decayed(now) / math.Max(total*c.guarantee, minWeight)
		if met < least {
			best, least = c, met
		}
	}
	return best
}
