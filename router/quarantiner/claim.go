package quarantiner

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"heatherhold.dev/core/messenger"
)

const (
	// claimDelay is how long an instance waits after its claim before it sends the request,
	// so that a claim of another instance has arrived.
	claimDelay = 200 * time.Millisecond
	// claimTimeout ends a claim whose request neither crashes an endpoint nor is answered.
	claimTimeout = 2 * time.Second
	// maxClaims limits the claims of others that are known, and those in one message.
	maxClaims = maxSent
)

// claim is the right of one instance to send a request under which an endpoint crashed. Of
// two claims the one with the lower id holds, unless its request is already sent.
type claim struct {
	event
	// own is set at the instance that claimed, and used once a request was sent for it.
	own  bool
	used bool
	// ended is set once that request has ended.
	ended bool
}

// claim claims a whole request for a pass, unless no endpoint crashed under it. It returns
// why the request may not be sent now, and whether there is a new claim.
func (q *Quarantiner) claim(now time.Time, p *Pass, key Key) (*Refusal, bool) {
	v, ok := q.crashed(key)
	if !ok {
		return nil, false
	}
	if v.Condemned && now.Before(v.TestAt) {
		return refusal(now, key, v), false
	}
	c, ok := q.activeClaim(now, key)
	if !ok {
		c = q.newClaim(now, key)
	}
	if !c.own || c.used {
		return held(now, key, v, c.at.Add(claimTimeout)), false
	}
	if ready := c.at.Add(claimDelay); now.Before(ready) {
		return held(now, key, v, ready), !ok
	}
	c.used = true
	p.claimed = append(p.claimed, key)
	return nil, false
}

// checkClaim returns why a request with a pass may no longer be sent; nil if it may.
func (q *Quarantiner) checkClaim(now time.Time, p *Pass, key Key) *Refusal {
	v, ok := q.crashed(key)
	switch {
	case !ok:
		return nil
	case v.Condemned && now.Before(v.TestAt):
		return refusal(now, key, v)
	case slices.Contains(p.claimed, key):
		return nil
	}
	return held(now, key, v, now.Add(claimDelay))
}

// crashed returns the verdict on a whole request by the crashes that are known of, without
// waiting for them to settle; false if there are none.
func (q *Quarantiner) crashed(key Key) (Verdict, bool) {
	r, ok := q.records[key]
	if !ok || key.Scope != WholeRequest {
		return Verdict{}, false
	}
	n := len(r.uncleared())
	return newVerdict(r, n, n >= condemnedCrashes), n > 0
}

// held returns the refusal of a request that may be held until the given time.
func held(now time.Time, key Key, v Verdict, until time.Time) *Refusal {
	return &Refusal{
		Key:        key,
		Verdict:    v,
		RetryAfter: suspectedRetryAfter,
		Hold:       until.Sub(now),
	}
}

// activeClaim returns the claim that holds for a key. A crash ends those before it.
func (q *Quarantiner) activeClaim(now time.Time, key Key) (*claim, bool) {
	c, ok := q.claims[key]
	if !ok || c.ended || now.Sub(c.at) >= claimTimeout {
		return nil, false
	}
	if r, ok := q.records[key]; ok && r.lastCrash().After(c.at) {
		return nil, false
	}
	return c, true
}

// newClaim claims a key for this instance.
func (q *Quarantiner) newClaim(now time.Time, key Key) *claim {
	q.dropClaims(now)
	c := &claim{
		event: event{
			id: rand.Uint64() | 1,
			at: now,
		},
		own: true,
	}
	q.claims[key] = c
	return c
}

// dropClaims drops the claims that have timed out.
func (q *Quarantiner) dropClaims(now time.Time) {
	if q.claims == nil {
		q.claims = make(map[Key]*claim)
	}
	maps.DeleteFunc(q.claims, func(_ Key, c *claim) bool { return now.Sub(c.at) >= claimTimeout })
}

// endClaims ends the claims of a pass and reports whether there are any.
func (q *Quarantiner) endClaims(p *Pass) bool {
	ended := false
	for _, key := range p.claimed {
		if c, ok := q.claims[key]; ok && c.own && c.used && !c.ended {
			c.ended = true
			ended = true
		}
	}
	p.claimed = nil
	return ended
}

// mergeClaim merges a peer's report of a claim and reports whether it was news.
func (q *Quarantiner) mergeClaim(now time.Time, key Key, m *messenger.SuspectPart) bool {
	q.dropClaims(now)
	other := &claim{
		event: mergeEvent(now, event{}, m.GetReleased()),
		ended: m.GetAnswered().GetId() != 0,
	}
	if key.Scope != WholeRequest || other.id == 0 || now.Sub(other.at) >= claimTimeout {
		return false
	}
	c, ok := q.claims[key]
	if ok && c.id == other.id {
		news := other.ended && !c.ended
		c.ended = c.ended || other.ended
		return news
	}
	if _, active := q.activeClaim(now, key); active && (c.used || c.id < other.id || other.ended) {
		return false
	}
	if !ok && len(q.claims) >= maxClaims {
		return false
	}
	q.claims[key] = other
	return true
}

// wireClaims returns the claims as reports without crashes, which instances that know no
// claims set aside. A claim that has ended is reported as answered.
func (q *Quarantiner) wireClaims(now time.Time) []*messenger.SuspectPart {
	q.dropClaims(now)
	var out []*messenger.SuspectPart
	for key, c := range q.claims {
		if len(out) >= maxClaims {
			break
		}
		m := &messenger.SuspectPart{
			Part:     claimPrefix + key.String(),
			Released: c.wire(now),
		}
		if c.ended {
			m.Answered = c.wire(now)
		}
		out = append(out, m)
	}
	return out
}
