package quarantiner

import (
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
	// Until then it is sent to others.
	claimTimeout = 2 * time.Second
	// claimRetention is how long a claim is known, so that a late report of it is no news.
	claimRetention = 2 * claimTimeout
	// maxClaimsOfKey limits the claims of others of one key.
	maxClaimsOfKey = 32
	// maxClaims limits the keys with claims of others that are known, and those in one message.
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

// claimAll claims the keys of a whole request for a pass. It returns why the request may not be
// sent now, and whether there is a new claim.
func (q *Quarantiner) claimAll(now time.Time, p *Pass, keys []Key) (*Refusal, bool) {
	var claims []*claim
	var refused *Refusal
	news := false
	for _, key := range keys {
		c, refusal, isNew := q.claim(now, key)
		news = news || isNew
		switch {
		case refusal != nil && refusal.Hold <= 0:
			return refusal, news
		case refusal != nil && (refused == nil || refusal.Hold > refused.Hold):
			refused = refusal
		case c != nil:
			claims = append(claims, c)
			p.claimed = append(p.claimed, key)
		}
	}
	if refused != nil {
		p.claimed = nil
		return refused, news
	}
	for _, c := range claims {
		c.used = true
	}
	return nil, false
}

// claim claims a whole request, unless no endpoint crashed under it. It returns the claim, or why
// the request may not be sent now, and whether the claim is new.
func (q *Quarantiner) claim(now time.Time, key Key) (*claim, *Refusal, bool) {
	v, ok := q.crashOf(key)
	if !ok {
		return nil, nil, false
	}
	if v.Condemned && now.Before(v.TestAt) {
		return nil, refusal(now, key, v), false
	}
	c, ok := q.activeClaim(now, key)
	if !ok {
		c = q.newClaim(now, key)
	}
	if !c.own || c.used {
		return nil, held(now, key, v, c.at.Add(claimTimeout)), false
	}
	if ready := c.at.Add(claimDelay); now.Before(ready) {
		return nil, held(now, key, v, ready), !ok
	}
	return c, nil, !ok
}

// checkClaim returns why a request with a pass may no longer be sent; nil if it may.
func (q *Quarantiner) checkClaim(now time.Time, p *Pass, key Key) *Refusal {
	v, ok := q.crashOf(key)
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

// crashOf returns the verdict on a whole request by the crashes that are known of, without
// waiting for them to settle; false if there are none.
func (q *Quarantiner) crashOf(key Key) (Verdict, bool) {
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

// activeClaim returns the claim that holds for a key: the one for which this instance has sent
// a request, or the one with the lowest id.
func (q *Quarantiner) activeClaim(now time.Time, key Key) (*claim, bool) {
	var holds *claim
	for _, c := range q.claims[key] {
		if !q.active(now, key, c) {
			continue
		}
		if c.used {
			return c, true
		}
		if holds == nil || c.id < holds.id {
			holds = c
		}
	}
	return holds, holds != nil
}

// active reports whether a claim has neither ended nor timed out. A crash ends those before it.
func (q *Quarantiner) active(now time.Time, key Key, c *claim) bool {
	if c.ended || now.Sub(c.at) >= claimTimeout {
		return false
	}
	r, ok := q.records[key]
	return !ok || !r.lastCrash().After(c.at)
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
	q.addClaim(key, c)
	return c
}

// addClaim adds a claim.
func (q *Quarantiner) addClaim(key Key, c *claim) {
	if q.claims == nil {
		q.claims = make(map[Key][]*claim)
	}
	q.claims[key] = append(q.claims[key], c)
}

// dropClaims drops the claims that are too old.
func (q *Quarantiner) dropClaims(now time.Time) {
	for key, claims := range q.claims {
		claims = slices.DeleteFunc(claims, func(c *claim) bool { return now.Sub(c.at) >= claimRetention })
		q.claims[key] = claims
		if len(claims) == 0 {
			delete(q.claims, key)
		}
	}
}

// endClaims ends this instance's claims of a key for which a request was sent or, if used is
// not set, was not. It reports whether there are any.
func (q *Quarantiner) endClaims(key Key, used bool) bool {
	ended := false
	for _, c := range q.claims[key] {
		if c.own && c.used == used && !c.ended {
			c.ended = true
			ended = true
		}
	}
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
	for _, c := range q.claims[key] {
		if c.id == other.id {
			news := other.ended && !c.ended
			c.ended = c.ended || other.ended
			return news
		}
	}
	if len(q.claims) >= maxClaims || len(q.claims[key]) >= maxClaimsOfKey {
		return false
	}
	q.addClaim(key, other)
	return true
}

// wireClaims returns the claims as reports without crashes, which instances that know no
// claims set aside. A claim that has ended is reported as answered.
func (q *Quarantiner) wireClaims(now time.Time) []*messenger.SuspectPart {
	var out []*messenger.SuspectPart
	for key, claims := range q.claims {
		for _, c := range claims {
			if len(out) < maxClaims && now.Sub(c.at) < claimTimeout {
				out = append(out, c.wire(now, key))
			}
		}
	}
	return out
}

// wire returns the claim as a message.
func (c *claim) wire(now time.Time, key Key) *messenger.SuspectPart {
	m := &messenger.SuspectPart{
		Part:     claimPrefix + key.String(),
		Released: c.event.wire(now),
	}
	if c.ended {
		m.Answered = c.event.wire(now)
	}
	return m
}
