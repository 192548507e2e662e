// Package prefixer estimates which endpoints still hold the beginning of a prompt that
// requests share, and how many tokens a request is expected to save there. It does no I/O and
// reads no clock: the caller passes the time.
//
// The likelihood that an endpoint holds a beginning is the product of three factors: whether
// the service's engines keep beginnings at all, which is learnt from the time to the first
// event (Evidence), the time since the beginning was last used there, and what the endpoint has
// read since, relative to its memory.
package prefixer

import (
	"container/list"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherhold.dev/core/identifier"
)

// Beginning identifies the start of a prompt; 0 means that there is none worth caching.
type Beginning uint64

const (
	// maxBeginnings bounds the beginnings that an endpoint is assumed to hold.
	maxBeginnings = 64
	// maxEntries bounds the beginnings at all endpoints together, so that a pool of 12,000
	// endpoints takes a part of an instance's memory only. Each endpoint keeps minBeginnings.
	maxEntries    = 1 << 15
	minBeginnings = 3
	// retention is the time constant with which an unused beginning loses likelihood.
	retention = 5 * time.Minute
	// testInterval is of how many requests one tests engines that seem to keep nothing.
	testInterval = 50
	// spreadInterval is of how many requests with a beginning that too few endpoints hold one
	// is placed as if no endpoint held it.
	spreadInterval = 4
	// minLikelihood is the likelihood below which nothing is expected.
	minLikelihood = 0.05
)

// Request is what the index needs to know about a request.
type Request struct {
	ID        identifier.Request
	Beginning Beginning
	// Tokens is the length of the beginning; 0 if it is not known.
	Tokens identifier.Tokens
	// Prompt is the length of the whole prompt.
	Prompt identifier.Tokens
}

// shared returns the length of the beginning as far as it is plausible.
func (r Request) shared() identifier.Tokens {
	if r.Beginning == 0 {
		return 0
	}
	return max(0, min(r.Tokens, r.Prompt))
}

// Index holds what is known about the beginnings at the endpoints of one service. Make it with
// New.
type Index struct {
	evidence  Evidence
	endpoints map[identifier.EndpointIncarnation]*endpoint
	// holders are, for each beginning, the endpoints that ran it.
	holders  map[Beginning]map[identifier.EndpointIncarnation]*list.Element
	requests requestRate
}

// endpoint is what is known about one endpoint incarnation.
type endpoint struct {
	// memory is how many tokens fit; 0 if it is not limited.
	memory identifier.Tokens
	// read is how many tokens the endpoint has read since it became known.
	read float64
	// recent has its entries, the most recently used first.
	recent *list.List
}

// entry is a beginning that ran at an endpoint.
type entry struct {
	beginning Beginning
	tokens    identifier.Tokens
	usedAt    time.Time
	// readBefore is how many tokens the endpoint had read when the beginning was last used.
	readBefore float64
	// endpoint is where it ran.
	endpoint *endpoint
}

// remains returns how many tokens of a beginning of the given length are expected to be held if
// the engines keep beginnings.
func (y *entry) remains(now time.Time, shared identifier.Tokens) float64 {
	likelihood := math.Exp(-float64(max(now.Sub(y.usedAt), 0)) / float64(retention))
	if y.endpoint.memory > 0 {
		likelihood *= math.Max(1-(y.endpoint.read-y.readBefore)/float64(y.endpoint.memory), 0)
	}
	if likelihood < minLikelihood {
		return 0
	}
	return likelihood * float64(min(y.tokens, shared))
}

// New returns an empty index.
func New() *Index {
	return &Index{
		endpoints: make(map[identifier.EndpointIncarnation]*endpoint),
		holders:   make(map[Beginning]map[identifier.EndpointIncarnation]*list.Element),
		requests:  newRequestRate(),
	}
}

// SetMemory makes an endpoint known, with the tokens that fit in its memory; 0 means that it is
// not limited.
func (x *Index) SetMemory(incarnation identifier.EndpointIncarnation, tokens identifier.Tokens) {
	e, ok := x.endpoints[incarnation]
	if !ok {
		e = &endpoint{recent: list.New()}
		x.endpoints[incarnation] = e
	}
	e.memory = max(tokens, 0)
}

// Forget deletes what is known about an endpoint that has left or started again.
func (x *Index) Forget(incarnation identifier.EndpointIncarnation) {
	e, ok := x.endpoints[incarnation]
	if !ok {
		return
	}
	for el := e.recent.Front(); el != nil; el = el.Next() {
		x.removeHolder(el.Value.(*entry).beginning, incarnation)
	}
	delete(x.endpoints, incarnation)
}

func (x *Index) removeHolder(b Beginning, incarnation identifier.EndpointIncarnation) {
	delete(x.holders[b], incarnation)
	if len(x.holders[b]) == 0 {
		delete(x.holders, b)
	}
}

// Count records that a request is placed, so that frequent beginnings are known.
func (x *Index) Count(r Request) {
	x.requests.add(r.Beginning)
}

// Read records that a known endpoint reads the prompt of a request from now on, with a fraction
// of its layers, and holds its beginning.
func (x *Index) Read(now time.Time, incarnation identifier.EndpointIncarnation, r Request, fraction float64) {
	e, ok := x.endpoints[incarnation]
	if !ok {
		return
	}
	saved := x.evidence.Kept() * x.remains(now, incarnation, r)
	e.read += math.Max(float64(r.Prompt)-saved, 0) * fraction
	tokens := r.shared()
	if tokens == 0 {
		return
	}
	if el, ok := x.holders[r.Beginning][incarnation]; ok {
		e.recent.MoveToFront(el)
		known := el.Value.(*entry)
		known.tokens = tokens
		known.usedAt = now
		known.readBefore = e.read
		return
	}
	if x.holders[r.Beginning] == nil {
		x.holders[r.Beginning] = make(map[identifier.EndpointIncarnation]*list.Element)
	}
	x.holders[r.Beginning][incarnation] = e.recent.PushFront(&entry{
		beginning:  r.Beginning,
		tokens:     tokens,
		usedAt:     now,
		readBefore: e.read,
		endpoint:   e,
	})
	for e.recent.Len() > x.limit() {
		oldest := e.recent.Remove(e.recent.Back()).(*entry)
		x.removeHolder(oldest.beginning, incarnation)
	}
}

// limit returns how many beginnings an endpoint is assumed to hold at most.
func (x *Index) limit() int {
	return max(minBeginnings, min(maxBeginnings, maxEntries/len(x.endpoints)))
}

// remains returns how many tokens of a request's beginning an endpoint is expected to hold if
// the engines keep beginnings.
func (x *Index) remains(now time.Time, incarnation identifier.EndpointIncarnation, r Request) float64 {
	el, ok := x.holders[r.Beginning][incarnation]
	if !ok {
		return 0
	}
	return el.Value.(*entry).remains(now, r.shared())
}

// Remains returns how many tokens of a request's beginning an endpoint is expected to hold if
// the service's engines keep beginnings.
func (x *Index) Remains(now time.Time, incarnation identifier.EndpointIncarnation, r Request) identifier.Tokens {
	return identifier.Tokens(x.remains(now, incarnation, r))
}

// Expect calls yield for each endpoint at which a request is expected to save the reading of
// tokens, with their number.
func (x *Index) Expect(now time.Time, r Request, yield func(identifier.EndpointIncarnation, identifier.Tokens)) {
	holders := x.holders[r.Beginning]
	if len(holders) == 0 || r.shared() == 0 {
		return
	}
	kept := x.evidence.Kept()
	switch draw := xxhash.Sum64String(string(r.ID)); {
	case kept == 0 && draw%testInterval != 0:
		return
	case kept == 0:
		kept = 1
	case len(holders) < x.wanted(r.Beginning) && draw%spreadInterval == 0:
		return
	}
	shared := r.shared()
	for incarnation, el := range holders {
		if tokens := identifier.Tokens(kept * el.Value.(*entry).remains(now, shared)); tokens > 0 {
			yield(incarnation, tokens)
		}
	}
}

// wanted returns at how many endpoints a beginning should be held: the same share of them as
// of the recent requests.
func (x *Index) wanted(b Beginning) int {
	return int(math.Ceil(x.requests.share(b) * float64(len(x.endpoints))))
}

// Observe records how long a request took to its first event.
func (x *Index) Observe(o Observation) {
	x.evidence.Observe(o)
}

// Keeps reports whether the engines are assumed to keep beginnings.
func (x *Index) Keeps() bool {
	return x.evidence.Kept() > 0
}
