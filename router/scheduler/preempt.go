package scheduler

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// maxRevoked bounds how many chains may be asked back at one time.
const maxRevoked = 8

// preempt asks a chain back from the least urgent work in flight when a request
// of c, the most urgent paying work, finds none, and c is within its share.
// Work of the same rank, and of a class that is itself below its guarantee, is
// left alone.
func (p *Pool) preempt(now time.Time, c *class) {
	if c.key.tier != identifier.Paying || c.rank.Order > p.mostUrgent() || !p.owes(now, c) {
		return
	}
	pending := 0
	for _, f := range p.flights {
		if f.revoked {
			pending++
		}
	}
	for range min(p.pressed(now, c), maxRevoked) - pending {
		f := p.victim(now, c)
		if f == nil {
			return
		}
		f.revoked = true
		p.decided = append(p.decided, Decision{
			Verdict: Revoked,
			Request: f.ask.Request,
		})
	}
}

// calmPart is the part of its longest wait for which a request waits for a chain
// that comes free by itself.
const calmPart = 0.25

// pressed counts the requests of c that have waited for so long that a chain is
// asked back for them.
func (p *Pool) pressed(now time.Time, c *class) int {
	calm := time.Duration(calmPart * float64(c.rank.MaxWait.Std()))
	n := 0
	for _, u := range c.customers {
		for _, e := range u.queue {
			if now.Sub(e.since) >= calm {
				n++
			}
		}
	}
	return n
}

func (p *Pool) mostUrgent() int {
	least := int(^uint(0) >> 1)
	for _, r := range p.policy.Ranks {
		least = min(least, r.Order)
	}
	return least
}

// victim returns the flight of the least urgent class that started last.
func (p *Pool) victim(now time.Time, c *class) *flight {
	var best *flight
	for _, f := range p.flights {
		if f.revoked || !c.before(f.class) || f.class.rank.Order == c.rank.Order || p.owes(now, f.class) || !p.meets(c, f.chain) {
			continue
		}
		if best == nil || better(f, best) {
			best = f
		}
	}
	return best
}

func better(f, g *flight) bool {
	if f.class != g.class {
		return g.class.before(f.class)
	}
	if !f.since.Equal(g.since) {
		return f.since.After(g.since)
	}
	return f.ask.Request < g.ask.Request
}

// owes reports whether c is at or below its guaranteed share.
func (p *Pool) owes(now time.Time, c *class) bool {
	if c.guarantee <= 0 {
		return false
	}
	total := 0.0
	for _, other := range p.order {
		total += other.decayed(now)
	}
	return c.decayed(now) <= total*c.guarantee
}
