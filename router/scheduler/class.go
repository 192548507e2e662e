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

// class is one tier of one rank: the customers that have had requests in it and
// the service that each has received.
type class struct {
	key classKey
	// rank holds the terms in force; guarantee is the guaranteed share of the tier.
	rank       declarer.Rank
	guarantee  float64
	customers  map[identifier.Customer]*account
	waiting    int
	queuedCost float64
	// serviceFloor is the highest value so far of the lowest service among customers
	// with waiting requests. A customer that returns after a pause starts from it and
	// not from its old, lower service.
	serviceFloor  float64
	recentTokens  float64
	recentUpdated time.Time
}

// account is the state of one customer in a class.
type account struct {
	name   identifier.Customer
	weight float64
	// service is the number of tokens that the customer has received, divided by
	// its weight.
	service    float64
	queue      []*waitingRequest
	queuedCost float64
	// late holds the requests that can no longer be on time, which are served after those
	// in queue; lateCost is the part of queuedCost that is theirs.
	late     []*waitingRequest
	lateCost float64
}

// waiting returns the number of the customer's waiting requests.
func (u *account) waiting() int {
	return len(u.queue) + len(u.late)
}

// cost returns the cost of the customer's waiting requests, and onTimeCost that of those that
// can be on time.
func (u *account) cost() float64 {
	return u.queuedCost
}

func (u *account) onTimeCost() float64 {
	return u.queuedCost - u.lateCost
}

// classOf returns the class of a, creating it on first use.
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
	p.classOrder = append(p.classOrder, c)
	p.sortClasses()
	return c
}

// applyTerms applies the terms that a carries for its rank, if the pool's policy
// does not declare the rank: another ask may have carried no terms, or those of an
// older configuration.
func (p *Pool) applyTerms(c *class, a Ask) {
	if _, ok := p.policy.Ranks[a.Rank]; ok || a.Terms == nil || *a.Terms == c.rank {
		return
	}
	c.configure(*a.Terms)
	p.sortClasses()
}

// terms returns the terms of a's rank. The entry instance has admitted a under its
// own configuration, so a rank that the pool's policy does not declare is not an
// error.
func (p *Pool) terms(a Ask) declarer.Rank {
	if rank, ok := p.policy.Ranks[a.Rank]; ok {
		return rank
	}
	if a.Terms != nil {
		return *a.Terms
	}
	return p.leastUrgentTerms()
}

// leastUrgentTerms returns the terms of the least urgent declared rank, without
// its guaranteed shares.
func (p *Pool) leastUrgentTerms() declarer.Rank {
	var last declarer.Rank
	for _, r := range p.policy.Ranks {
		if r.Order >= last.Order {
			last = r
		}
	}
	return withoutShare(last)
}

// withoutShare returns r without a guaranteed share of the pool's tokens.
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
	sort.SliceStable(p.classOrder, func(i, j int) bool { return p.classOrder[i].before(p.classOrder[j]) })
}

// before reports whether c comes before d in the class order: paying classes come
// before free ones, then more urgent ones before less urgent ones.
func (c *class) before(d *class) bool {
	if c.key.tier != d.key.tier {
		return c.key.tier == identifier.Paying
	}
	return c.rank.Order < d.rank.Order
}

// account returns a customer's account, creating it on first use.
func (c *class) account(name identifier.Customer, weight float64) *account {
	u, ok := c.customers[name]
	if !ok {
		u = &account{
			name:    name,
			service: c.serviceFloor,
		}
		c.customers[name] = u
	}
	u.weight = math.Max(weight, minWeight)
	return u
}

// minWeight is the smallest weight of a customer. It is also the lower bound of
// other divisors.
const minWeight = 1e-6

func (c *class) push(w *waitingRequest) {
	u := c.account(w.ask.Customer, w.ask.Weight)
	if u.waiting() == 0 {
		u.service = math.Max(u.service, c.serviceFloor)
	}
	u.queue = append(u.queue, w)
	u.queuedCost += w.cost
	c.waiting++
	c.queuedCost += w.cost
	c.raiseFloor()
}

func (c *class) remove(w *waitingRequest) {
	u := c.customers[w.ask.Customer]
	queue := &u.queue
	if w.late {
		queue = &u.late
	}
	i := slices.Index(*queue, w)
	if i < 0 {
		return
	}
	*queue = slices.Delete(*queue, i, i+1)
	if w.late {
		u.lateCost -= w.cost
	}
	u.queuedCost -= w.cost
	c.waiting--
	c.queuedCost -= w.cost
}

// charge adds tokens to a customer's account; tokens is negative if a prediction
// was too high.
func (c *class) charge(name identifier.Customer, weight, tokens float64) {
	u := c.account(name, weight)
	u.service += tokens / u.weight
	c.raiseFloor()
}

// raiseFloor raises the service floor to the lowest service among customers with
// waiting requests, if that is higher.
func (c *class) raiseFloor() {
	minService := math.Inf(1)
	for _, u := range c.customers {
		if u.waiting() > 0 {
			minService = math.Min(minService, u.service)
		}
	}
	if !math.IsInf(minService, 1) {
		c.serviceFloor = math.Max(c.serviceFloor, minService)
	}
}

func (c *class) queueLength(name identifier.Customer) int {
	u, ok := c.customers[name]
	if !ok {
		return 0
	}
	return u.waiting()
}

// queueHeads returns the first waiting request of each customer, ordered by the
// customer's service, lowest first: of those that can be on time, and then of those that
// can't.
func (c *class) queueHeads() []*waitingRequest {
	var waiting []*account
	for _, u := range c.customers {
		if u.waiting() > 0 {
			waiting = append(waiting, u)
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		if waiting[i].service != waiting[j].service {
			return waiting[i].service < waiting[j].service
		}
		return waiting[i].name < waiting[j].name
	})
	heads := make([]*waitingRequest, 0, len(waiting))
	for _, u := range waiting {
		if len(u.queue) > 0 {
			heads = append(heads, u.queue[0])
		}
	}
	for _, u := range waiting {
		if len(u.late) > 0 {
			heads = append(heads, u.late[0])
		}
	}
	return heads
}

// removeExpired removes and returns the requests whose deadline has passed.
func (c *class) removeExpired(now time.Time) []*waitingRequest {
	var out []*waitingRequest
	for _, u := range c.customers {
		for _, queue := range [][]*waitingRequest{u.queue, u.late} {
			for _, w := range queue {
				if now.After(w.deadline) {
					out = append(out, w)
				}
			}
		}
	}
	for _, w := range out {
		c.remove(w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ask.Request < out[j].ask.Request })
	return out
}

// addRecent adds tokens to the class's recent tokens; they don't fall below 0.
func (c *class) addRecent(now time.Time, tokens float64) {
	c.recentTokens = math.Max(c.decayedTokens(now)+tokens, 0)
	c.recentUpdated = now
}

// decayedTokens returns the recent tokens, decayed up to now.
func (c *class) decayedTokens(now time.Time) float64 {
	return c.recentTokens * math.Exp(-now.Sub(c.recentUpdated).Seconds()/recentWindow.Seconds())
}

// nextClass returns the class to serve next, of those that have waiting requests
// and are not blocked; nil if there is none.
func (p *Pool) nextClass(now time.Time, blocked map[*class]bool) *class {
	if c := p.furthestBelowGuarantee(now, blocked); c != nil {
		return c
	}
	for _, c := range p.classOrder {
		if c.waiting > 0 && !blocked[c] {
			return c
		}
	}
	return nil
}

// furthestBelowGuarantee returns the class that is furthest below its guaranteed
// share, of those that have waiting requests and are not blocked; nil if none is
// below its share.
func (p *Pool) furthestBelowGuarantee(now time.Time, blocked map[*class]bool) *class {
	total := 0.0
	for _, c := range p.classOrder {
		total += c.decayedTokens(now)
	}
	total *= p.guaranteeFactor(now)
	var best *class
	minRatio := 1.0
	for _, c := range p.classOrder {
		if c.waiting == 0 || blocked[c] || c.guarantee <= 0 {
			continue
		}
		ratio := c.decayedTokens(now) / math.Max(total*c.guarantee, minWeight)
		if ratio < minRatio {
			best, minRatio = c, ratio
		}
	}
	return best
}
