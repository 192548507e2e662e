// Package balancer picks an endpoint of a plain service for a request: the one
// with the least work of this instance in flight, and none that has lately
// failed while another has not.
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
	// restAfterFailure is how long an endpoint that gave no answer is avoided
	// while there are others; it doubles with each failure in a row.
	restAfterFailure = 500 * time.Millisecond
	maxDoublings     = 4
	// gain is how fast the failure rate of an endpoint follows its answers.
	gain = 0.1
	// failureWeight is how many requests in flight a failure rate of 1 is like.
	failureWeight = 8
)

// Balancer remembers what this instance sees of endpoints. Its zero value is
// ready to use.
type Balancer struct {
	mu    sync.Mutex
	lives map[identifier.Life]*record
}

// record is what is known of one endpoint.
type record struct {
	flying int
	rate   float64
	inRow  int
	rest   time.Time
}

// Pick chooses among endpoints, and counts a request as in flight there until
// Done. ok is false if each is leaving or to be avoided.
func (b *Balancer) Pick(now time.Time, endpoints []cataloguer.Endpoint, near identifier.DataCentre, avoid []identifier.Life) (cataloguer.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := -1
	least := 0.0
	for i := range endpoints {
		e := &endpoints[i]
		if e.Leaving || slices.Contains(avoid, e.Life) {
			continue
		}
		s := b.score(now, e, near)
		if best < 0 || s < least {
			best, least = i, s
		}
	}
	if best < 0 {
		return cataloguer.Endpoint{}, false
	}
	b.record(endpoints[best].Life).flying++
	return endpoints[best], true
}

// Weights of a score, in requests in flight.
const (
	farWeight  = 0.5
	restWeight = 1000
)

func (b *Balancer) score(now time.Time, e *cataloguer.Endpoint, near identifier.DataCentre) float64 {
	s := rand.Float64() / 10
	if e.DataCentre != near {
		s += farWeight
	}
	r, ok := b.lives[e.Life]
	if !ok {
		return s
	}
	s += float64(r.flying) + failureWeight*r.rate
	if now.Before(r.rest) {
		s += restWeight
	}
	return s
}

func (b *Balancer) record(l identifier.Life) *record {
	if b.lives == nil {
		b.lives = make(map[identifier.Life]*record)
	}
	r, ok := b.lives[l]
	if !ok {
		r = &record{}
		b.lives[l] = r
	}
	return r
}

// Outcome is how a request went at an endpoint.
type Outcome int

// The outcomes.
const (
	// Answered is a good answer.
	Answered Outcome = iota
	// Failed is an answer that says that the endpoint failed or was full.
	Failed
	// Lost is no answer, or a broken one.
	Lost
	// Withdrawn is a request that was taken back; it says nothing of the endpoint.
	Withdrawn
)

// Done notes how a request that Pick counted has ended.
func (b *Balancer) Done(now time.Time, l identifier.Life, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(l)
	r.flying--
	switch o {
	case Answered:
		r.rate -= gain * r.rate
		r.inRow = 0
		r.rest = time.Time{}
	case Failed:
		r.rate += gain * (1 - r.rate)
	case Lost:
		r.rate += gain * (1 - r.rate)
		r.rest = now.Add(restAfterFailure << min(r.inRow, maxDoublings))
		r.inRow++
	case Withdrawn:
	}
}

// Keep drops the records of endpoints that are not among lives and have nothing
// in flight.
func (b *Balancer) Keep(lives map[identifier.Life]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for l, r := range b.lives {
		if !lives[l] && r.flying == 0 {
			delete(b.lives, l)
		}
	}
}
