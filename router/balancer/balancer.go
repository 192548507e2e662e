// Package balancer picks an endpoint of a plain service for a request: the one with
// the fewest requests of this instance in flight, where failures and a location in
// another data centre count as further requests. An endpoint that recently did not
// respond is picked only if no other is available.
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
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
// them. Its zero value is ready to use.
type Balancer struct {
	mu      sync.Mutex
	records map[identifier.EndpointIncarnation]*record
}

// record is the load and the failures of one endpoint incarnation.
type record struct {
	inFlight          int
	failureRate       float64
	consecutiveLosses int
	avoidUntil        time.Time
}

// Pick chooses among endpoints, and counts a request as in flight there until
// Done. It returns false if every endpoint is leaving or to be avoided. Endpoints in
// data centre near are preferred.
func (b *Balancer) Pick(now time.Time, endpoints []cataloguer.Endpoint, near identifier.DataCentre, avoid []identifier.EndpointIncarnation) (cataloguer.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := -1
	lowest := 0.0
	for i := range endpoints {
		e := &endpoints[i]
		if e.Leaving || slices.Contains(avoid, e.EndpointIncarnation) {
			continue
		}
		s := b.score(now, e, near)
		if best < 0 || s < lowest {
			best, lowest = i, s
		}
	}
	if best < 0 {
		return cataloguer.Endpoint{}, false
	}
	b.record(endpoints[best].EndpointIncarnation).inFlight++
	return endpoints[best], true
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
