package scheduler

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// stageLoad is the load of one stream at one endpoint. While a chain is repaired two tickets hold
// its stages that stay; they share it, so that the load counts once, whichever of the two
// is released first.
type stageLoad struct {
	stage identifier.Stage
	// fraction is the fraction of the endpoint's layers that the stage uses.
	fraction float64
	tokens   identifier.Tokens
	// tickets is how many tickets hold the stage and make progress. The load counts while it
	// is over 0.
	tickets int
}

// countLoad counts a load for one more ticket.
func (p *Pool) countLoad(h *stageLoad) {
	h.tickets++
	if h.tickets == 1 {
		p.addLoad(h.stage.EndpointIncarnation, h.fraction, h.tokens)
	}
}

// uncountLoad ends a load for one ticket.
func (p *Pool) uncountLoad(h *stageLoad) {
	h.tickets--
	if h.tickets == 0 {
		p.removeLoad(h.stage.EndpointIncarnation, h.fraction, h.tokens)
	}
}

// growLoad raises the tokens for which a load reserves memory: the request has received a part of
// its response since.
func (p *Pool) growLoad(h *stageLoad, tokens identifier.Tokens) {
	if tokens <= h.tokens {
		return
	}
	if h.tickets > 0 {
		p.state(h.stage.EndpointIncarnation).load.reservedTokens += scale(tokens, h.fraction) - scale(h.tokens, h.fraction)
	}
	h.tokens = tokens
}

// keptLoad returns the load of the active request r on a stage, if its chain includes exactly that
// stage; otherwise nil.
func (p *Pool) keptLoad(r identifier.Request, s identifier.Stage) *stageLoad {
	active, ok := p.active[r]
	if r == "" || !ok {
		return nil
	}
	for _, h := range active.loads {
		if h.stage.EndpointIncarnation == s.EndpointIncarnation && h.stage.From == s.From && h.stage.To == s.To {
			return h
		}
	}
	return nil
}

// addStage counts the load of an active request on a stage of its chain. A stage that stays when a chain is
// repaired is counted already and reads nothing.
func (p *Pool) addStage(now time.Time, active *activeRequest, s identifier.Stage) {
	h := p.keptLoad(active.ask.Repairs, s)
	reads := h == nil
	if reads {
		h = &stageLoad{
			stage:    s,
			fraction: p.layerFraction(s),
			tokens:   active.reservedTokens,
		}
	}
	p.growLoad(h, active.reservedTokens)
	p.countLoad(h)
	active.loads = append(active.loads, h)
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
