package scheduler

import (
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/prefixer"
)

// prefixOf returns what the index of prompt beginnings needs to know about a.
func prefixOf(a Ask) prefixer.Request {
	return prefixer.Request{
		ID:        a.Request,
		Beginning: prefixer.Beginning(a.Prefix),
		Tokens:    a.PrefixTokens,
		Prompt:    a.Prompt,
	}
}

// setCached sets how many prompt tokens of a each runner is expected to have cached.
func (p *Pool) setCached(a Ask) {
	for _, i := range p.cached {
		p.runners[i].Cached = 0
	}
	p.cached = p.cached[:0]
	p.prefixes.Expect(p.cachedAt, prefixOf(a), func(incarnation identifier.EndpointIncarnation, tokens identifier.Tokens) {
		i, ok := p.runnerIndex[incarnation]
		if !ok {
			return
		}
		p.runners[i].Cached = tokens
		p.cached = append(p.cached, i)
	})
}

// predictReading predicts when the first event of a, which starts on a chain now, is due, and
// what it saves if the beginning of its prompt is still held. Without a beginning of known length
// the result is zero, as such a request isn't compared with others.
func (p *Pool) predictReading(now time.Time, a Ask, chain []identifier.Stage) prefixer.Observation {
	if a.Prefix == 0 || a.PrefixTokens <= 0 {
		return prefixer.Observation{}
	}
	request := prefixOf(a)
	held := false
	whole := p.readingTime(a, chain, func(r *planner.Runner) identifier.Tokens {
		held = held || p.prefixes.Remains(now, r.EndpointIncarnation, request) > 0
		return 0
	})
	if !held {
		return prefixer.Observation{Predicted: whole}
	}
	return prefixer.Observation{
		Predicted: whole,
		Saved: whole - p.readingTime(a, chain, func(r *planner.Runner) identifier.Tokens {
			return p.prefixes.Remains(now, r.EndpointIncarnation, request)
		}),
	}
}

// KeepsBeginnings reports whether the pool's engines are taken to keep the beginnings of prompts.
func (p *Pool) KeepsBeginnings() bool {
	p.prepare()
	return p.prefixes.Keeps()
}
