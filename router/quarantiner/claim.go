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
	if !ok || now.Sub(c.at) >= claimTimeout {
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
	q.addClaim(key, c)
	return c
}

// addClaim adds a claim.
func (q *Quarantiner) addClaim(key Key, c *claim) {
	if q.claims == nil {
		q.claims = make(map[Key]*claim)
	}
	q.claims[key] = c
}

// dropClaims drops the claims that have ended.
func (q *Quarantiner) dropClaims(now time.Time) {
	maps.DeleteFunc(q.claims, func(_ Key, c *claim) bool { return now.Sub(c.at) >= claimTimeout })
}

// endClaims ends the claims of a pass.
func (q *Quarantiner) endClaims(p *Pass) {
	for _, key := range p.claimed {
		if c, ok := q.claims[key]; ok && c.own && c.used {
			delete(q.claims, key)
		}
	}
	p.claimed = nil
}

// mergeClaim merges a peer's report of a claim and reports whether it was news.
func (q *Quarantiner) mergeClaim(now time.Time, key Key, m *messenger.PartEvent) bool {
	q.dropClaims(now)
	other := mergeEvent(now, event{}, m)
	if key.Scope != WholeRequest || other.id == 0 || now.Sub(other.at) >= claimTimeout || len(q.claims) >= maxClaims {
		return false
	}
	if c, ok := q.activeClaim(now, key); ok && (c.used || c.id <= other.id) {
		return false
	}
	q.addClaim(key, &claim{event: other})
	return true
}

// wireClaims returns the claims as reports without crashes, which instances that know no
// claims set aside.
func (q *Quarantiner) wireClaims(now time.Time) []*messenger.SuspectPart {
	var out []*messenger.SuspectPart
	for key := range q.claims {
		if c, ok := q.activeClaim(now, key); ok && len(out) < maxClaims {
			out = append(out, &messenger.SuspectPart{
				Part:     claimPrefix + key.String(),
				Released: c.wire(now),
			})
		}
	}
	return out
}
