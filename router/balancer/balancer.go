// Package balancer picks an endpoint of a plain service for a request: the one with
// the fewest requests of this instance in flight, where failures and a location in
// another data centre count as further requests. An endpoint that recently did not
// respond is picked only if no other is available.
package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/assigner"
	"heatherhold.dev/router/pacer"
)

const (
	// cooldown is how long an endpoint that did not respond is avoided while there
	// are others. It doubles with each further Lost outcome before the next Responded
	// one, at most maxDoublings times.
	cooldown     = 500 * time.Millisecond
	maxDoublings = 4
	// smoothing is the weight of the latest outcome in the moving average that is
	// an endpoint's failure rate.
	smoothing = 0.1
	// failureWeight is how many requests in flight a failure rate of 1 counts as.
	failureWeight = 8
)

// Balancer records the load and the failures of endpoints as this instance observes
// them. Its zero value is ready to use, and takes the limits of endpoints for its own.
type Balancer struct {
	// Self is this instance, and Live, if set, returns the live instances, which share
	// the limits that endpoints name.
	Self identifier.Instance
	Live func() []identifier.Instance

	mu      sync.Mutex
	records map[identifier.EndpointIncarnation]*record
}

// record is the load and the failures of one endpoint incarnation.
type record struct {
	inFlight          int
	failureRate       float64
	consecutiveLosses int
	avoidUntil        time.Time
	// limit is the limit that the endpoint names.
	limit pacer.Named
	// pace keeps this instance's requests within its share of the endpoint's limit. An
	// instance without a share sends nothing before closedUntil.
	pace        pacer.Bucket
	closedUntil time.Time
	// pausedUntil is the time until which the endpoint wants no requests of this instance.
	pausedUntil time.Time
}

// wait returns how long a request to the endpoint has to wait.
func (r *record) wait(now time.Time) time.Duration {
	return max(r.pace.Wait(now), r.closedUntil.Sub(now), r.pausedUntil.Sub(now), 0)
}

// Pick chooses among endpoints, and counts a request as in flight there until
// Done. It returns false if there is none to choose: with the time until the first one
// whose limit allows a request or, if every endpoint is leaving or to be avoided, a
// negative time. Endpoints in data centre near are preferred.
func (b *Balancer) Pick(now time.Time, endpoints []cataloguer.Endpoint, near identifier.DataCentre, avoid []identifier.EndpointIncarnation) (cataloguer.Endpoint, time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := -1
	lowest := 0.0
	shortest := time.Duration(-1)
	for i := range endpoints {
		e := &endpoints[i]
		if e.Leaving || slices.Contains(avoid, e.EndpointIncarnation) {
			continue
		}
		if wait := b.wait(now, e.EndpointIncarnation); wait > 0 {
			if shortest < 0 || wait < shortest {
				shortest = wait
			}
			continue
		}
		s := b.score(now, e, near)
		if best < 0 || s < lowest {
			best, lowest = i, s
		}
	}
	if best < 0 {
		return cataloguer.Endpoint{}, shortest, false
	}
	r := b.record(endpoints[best].EndpointIncarnation)
	r.inFlight++
	r.pace.Take(now)
	if !r.closedUntil.IsZero() {
		r.closedUntil = now.Add(answerWait)
	}
	return endpoints[best], 0, true
}

// answerWait is how long an instance without a share of an endpoint's limit waits for the
// answer that tells whether there still is a limit.
const answerWait = 2 * time.Second

func (b *Balancer) wait(now time.Time, incarnation identifier.EndpointIncarnation) time.Duration {
	r, ok := b.records[incarnation]
	if !ok {
		return 0
	}
	return r.wait(now)
}

// Pause records that an endpoint wants no requests of this instance until a time.
func (b *Balancer) Pause(incarnation identifier.EndpointIncarnation, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(incarnation)
	if until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
}

// Paused returns the endpoints that want no requests of this instance, with the time until
// which that holds.
func (b *Balancer) Paused(now time.Time) map[identifier.EndpointIncarnation]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out map[identifier.EndpointIncarnation]time.Time
	for incarnation, r := range b.records {
		if !r.pausedUntil.After(now) {
			continue
		}
		if out == nil {
			out = make(map[identifier.EndpointIncarnation]time.Time)
		}
		out[incarnation] = r.pausedUntil
	}
	return out
}

// Limit records the limit that an endpoint named in its answer to a request that was sent
// at sentAt, in requests a second; 0 if it named none. It reports whether the limit
// changed.
func (b *Balancer) Limit(now, sentAt time.Time, incarnation identifier.EndpointIncarnation, perSecond float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(incarnation)
	changed := r.limit.Update(now, sentAt, perSecond)
	if r.limit.PerSecond == 0 {
		r.pace = pacer.Bucket{}
		r.closedUntil = time.Time{}
		return changed
	}
	if perSecond <= 0 {
		// The answer to an older request.
		return false
	}
	share, instances := b.share(incarnation, perSecond)
	if share > 0 {
		r.closedUntil = time.Time{}
		r.pace.Limit(now, share)
		return changed
	}
	r.pace = pacer.Bucket{}
	// Together the instances without a share ask about askedShare of the limit.
	period := float64(instances) / (askedShare * perSecond)
	r.closedUntil = now.Add(time.Duration(rand.Float64() * min(period, maxClosed.Seconds()) * float64(time.Second)))
	return changed
}

const (
	// askedShare is the share of a limit that instances without a share of their own use
	// to find out whether it still holds.
	askedShare = 0.1
	// maxClosed bounds the time until such an instance asks. It is longer than the time that
	// a few hundred instances need to ask for their share of a request every few seconds: a
	// shorter one would let them exceed the limit together.
	maxClosed = 6 * time.Hour
	// minMembers is how many instances share a limit, however small it is, and
	// membersPerRequest how many more for each request a second.
	minMembers        = 2
	membersPerRequest = 2
)

// share returns this instance's share of an endpoint's limit, and the number of live
// instances. Few instances share a small limit, since each may send one request at once.
func (b *Balancer) share(incarnation identifier.EndpointIncarnation, perSecond float64) (float64, int) {
	var live []identifier.Instance
	if b.Live != nil {
		live = b.Live()
	}
	members := min(len(live), minMembers+int(min(membersPerRequest*perSecond, math.MaxInt32)))
	if members == 0 {
		return perSecond, 1
	}
	rank, ok := assigner.Rank(identifier.Service(incarnation.String()), live, b.Self)
	if !ok || rank >= members {
		return 0, len(live)
	}
	return perSecond / float64(members), len(live)
}

// What is added to the score, in requests in flight, of an endpoint in another data
// centre and of one during its cooldown.
const (
	remoteWeight   = 0.5
	cooldownWeight = 1000
)

func (b *Balancer) score(now time.Time, e *cataloguer.Endpoint, near identifier.DataCentre) float64 {
	// A random part of less than one request chooses among equal endpoints.
	s := rand.Float64() / 10
	if e.DataCentre != near {
		s += remoteWeight
	}
	r, ok := b.records[e.EndpointIncarnation]
	if !ok {
		return s
	}
	s += float64(r.inFlight) + failureWeight*r.failureRate
	if now.Before(r.avoidUntil) {
		s += cooldownWeight
	}
	return s
}

func (b *Balancer) record(incarnation identifier.EndpointIncarnation) *record {
	if b.records == nil {
		b.records = make(map[identifier.EndpointIncarnation]*record)
	}
	r, ok := b.records[incarnation]
	if !ok {
		r = &record{}
		b.records[incarnation] = r
	}
	return r
}

// Outcome is the result of a request to an endpoint.
type Outcome int

// The outcomes.
const (
	// Responded means that the endpoint responded without an error of its own.
	Responded Outcome = iota
	// Failed means that the endpoint responded that it failed or was full.
	Failed
	// Lost means that there was no response, or that it was incomplete or unsigned.
	Lost
	// Cancelled means that the request was cancelled; it does not count for or
	// against the endpoint.
	Cancelled
)

// Done records the outcome of a request that Pick counted.
func (b *Balancer) Done(now time.Time, incarnation identifier.EndpointIncarnation, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(incarnation)
	r.inFlight--
	switch o {
	case Responded:
		r.failureRate -= smoothing * r.failureRate
		r.consecutiveLosses = 0
		r.avoidUntil = time.Time{}
	case Failed:
		r.failureRate += smoothing * (1 - r.failureRate)
	case Lost:
		r.failureRate += smoothing * (1 - r.failureRate)
		r.avoidUntil = now.Add(cooldown << min(r.consecutiveLosses, maxDoublings))
		r.consecutiveLosses++
	case Cancelled:
	}
}

// Keep deletes the records of endpoint incarnations that are not in live and have
// no requests in flight.
func (b *Balancer) Keep(live map[identifier.EndpointIncarnation]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for incarnation, r := range b.records {
		if !live[incarnation] && r.inFlight == 0 {
			delete(b.records, incarnation)
		}
	}
}
