package scheduler

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// hold is the load of one stream at one endpoint. While a chain is repaired two tickets hold
// its stages that stay; they share the hold, so that the load counts once, whichever of the two
// is released first.
type hold struct {
	stage identifier.Stage
	// fraction is the fraction of the endpoint's layers that the stage uses.
	fraction float64
	tokens   identifier.Tokens
	// holders is how many tickets hold the stage and make progress. The load counts while it
	// is over 0.
	holders int
}

// acquire counts the load of a hold for one more ticket.
func (p *Pool) acquire(h *hold) {
	h.holders++
	if h.holders == 1 {
		p.addLoad(h.stage.EndpointIncarnation, h.fraction, h.tokens)
	}
}

// drop ends the load of a hold for one ticket.
func (p *Pool) drop(h *hold) {
	h.holders--
	if h.holders == 0 {
		p.removeLoad(h.stage.EndpointIncarnation, h.fraction, h.tokens)
	}
}

// grow raises the tokens for which a hold reserves memory: the request has received a part of
// its response since.
func (p *Pool) grow(h *hold, tokens identifier.Tokens) {
	if tokens <= h.tokens {
		return
	}
	if h.holders > 0 {
		p.state(h.stage.EndpointIncarnation).load.reservedTokens += scale(tokens, h.fraction) - scale(h.tokens, h.fraction)
	}
	h.tokens = tokens
}

// kept returns the hold of the active request r on a stage, if its chain includes exactly that
// stage; otherwise nil.
func (p *Pool) kept(r identifier.Request, s identifier.Stage) *hold {
	active, ok := p.active[r]
	if r == "" || !ok {
		return nil
	}
	for _, h := range active.holds {
		if h.stage.EndpointIncarnation == s.EndpointIncarnation && h.stage.From == s.From && h.stage.To == s.To {
			return h
		}
	}
	return nil
}

// hold makes an active request hold a stage of its chain. A stage that stays when a chain is
// repaired is counted already and reads nothing.
func (p *Pool) hold(now time.Time, active *activeRequest, s identifier.Stage) {
	h := p.kept(active.ask.Repairs, s)
	reads := h == nil
	if reads {
		h = &hold{
			stage:    s,
			fraction: p.layerFraction(s),
			tokens:   active.reservedTokens,
		}
	}
	p.grow(h, active.reservedTokens)
	p.acquire(h)
	active.holds = append(active.holds, h)
	if reads {
		p.recordStart(now, s, h.fraction, active)
		p.prefixes.Read(now, s.EndpointIncarnation, prefixOf(active.ask), h.fraction)
		return
	}
	if r := p.runner(s.EndpointIncarnation); r != nil {
		state := p.state(s.EndpointIncarnation)
		r.Running = max(r.Running, state.load.usedSlots()+state.foreignStreams)
		r.ReservedTokens = state.load.reservedTokens
	}
}
