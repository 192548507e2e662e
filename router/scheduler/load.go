package scheduler

import (
	"math"

	"heatherhold.dev/core/identifier"
)

// load is the capacity of one endpoint that the pool's own tickets use. A stream
// that uses a fraction of the endpoint's layers uses that fraction of a slot and
// of the memory for the stream's tokens.
type load struct {
	streams        int
	slots          float64
	reservedTokens identifier.Tokens
}

// usedSlots returns the number of slots in use, rounded up.
func (l load) usedSlots() int {
	const tolerance = 1e-6
	return int(math.Ceil(l.slots - tolerance))
}

// layerFraction returns the fraction of its endpoint's layers that a stage uses;
// 1 if the endpoint is not in the pool.
func (p *Pool) layerFraction(s identifier.Stage) float64 {
	r := p.runner(s.EndpointIncarnation)
	if r == nil || r.To <= r.From {
		return 1
	}
	return min(float64(s.To-s.From)/float64(r.To-r.From), 1)
}

// scale returns a fraction of a duration or of a number of tokens.
func scale[T ~int64](n T, fraction float64) T {
	return T(fraction * float64(n))
}

// addLoad adds the load of a stream that starts on an endpoint.
func (p *Pool) addLoad(incarnation identifier.EndpointIncarnation, fraction float64, tokens identifier.Tokens) {
	l := &p.state(incarnation).load
	l.streams++
	l.slots += fraction
	l.reservedTokens += scale(tokens, fraction)
}

// removeLoad subtracts the load that addLoad added.
func (p *Pool) removeLoad(incarnation identifier.EndpointIncarnation, fraction float64, tokens identifier.Tokens) {
	l := &p.state(incarnation).load
	l.streams--
	l.slots -= fraction
	l.reservedTokens -= scale(tokens, fraction)
	if l.streams <= 0 {
		*l = load{}
		p.forget(incarnation)
	}
}
