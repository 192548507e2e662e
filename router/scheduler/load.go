package scheduler

import (
	"math"

	"heatherhold.dev/core/identifier"
)

// load is what a pool's own tickets take of one endpoint. A stream that uses a
// part of the endpoint's layers takes that part of a place and of its memory.
type load struct {
	streams int
	places  float64
	tokens  identifier.Tokens
}

// running returns the places taken, in whole ones.
func (l load) running() int {
	const rounding = 1e-6
	return int(math.Ceil(l.places - rounding))
}

// part returns the part of its endpoint's layers that a stage uses; 1 if the
// endpoint is not known.
func (p *Pool) part(s identifier.Stage) float64 {
	r := p.runner(s.Life)
	if r == nil || r.To <= r.From {
		return 1
	}
	return min(float64(s.To-s.From)/float64(r.To-r.From), 1)
}

// partOf returns a part of a time or of memory.
func partOf[T ~int64](n T, part float64) T {
	return T(part * float64(n))
}

// load counts a stream that starts on an endpoint.
func (p *Pool) load(l identifier.Life, part float64, tokens identifier.Tokens) {
	n := p.loads[l]
	n.streams++
	n.places += part
	n.tokens += partOf(tokens, part)
	p.loads[l] = n
}

// unload takes back what load counted.
func (p *Pool) unload(l identifier.Life, part float64, tokens identifier.Tokens) {
	n := p.loads[l]
	n.streams--
	n.places -= part
	n.tokens -= partOf(tokens, part)
	if n.streams <= 0 {
		delete(p.loads, l)
		return
	}
	p.loads[l] = n
}
