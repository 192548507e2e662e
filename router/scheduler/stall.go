package scheduler

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// Stall records that an active request makes no progress, because an endpoint of its chain
// failed. Others may get its places until Adopt reports that it goes on.
func (p *Pool) Stall(now time.Time, r identifier.Request, failed identifier.EndpointIncarnation) {
	p.prepare()
	active, ok := p.active[r]
	if !ok || active.stalled {
		return
	}
	active.stalled = true
	p.removeLoads(active)
	p.recordFailure(now, failed)
}

// unstall counts the load of a request again that had stalled.
func (p *Pool) unstall(active *activeRequest) {
	if !active.stalled {
		return
	}
	active.stalled = false
	for _, h := range active.loads {
		p.countLoad(h)
	}
}

// removeLoads removes an active request from the load of its endpoints.
func (p *Pool) removeLoads(active *activeRequest) {
	for _, h := range active.loads {
		p.uncountLoad(h)
	}
}
