package conductor

import (
	"context"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/placer"
)

// moveLimit is how long an endpoint may take to change its layers before another
// is moved all the same.
const moveLimit = 15 * time.Second

// movement is an endpoint on its way to other layers.
type movement struct {
	life   identifier.Life
	layers placer.Range
	at     time.Time
}

// over reports whether the endpoint holds its new layers, is gone, or takes too long.
func (m movement) over(fleet []cataloguer.Endpoint) bool {
	if time.Since(m.at) > moveLimit {
		return true
	}
	for _, p := range fleet {
		if p.Life == m.life {
			return p.From == m.layers.From && p.To == m.layers.To
		}
	}
	return true
}

// rebalance has one endpoint at a time take layers that nobody near it holds.
func (c *Conductor) rebalance(ctx context.Context, s identifier.Service, e *cataloguer.Engine, fleet []cataloguer.Endpoint) {
	if m, ok := c.moving[s]; ok && !m.over(fleet) {
		return
	}
	delete(c.moving, s)
	move, ok := placer.Rebalance(e, fleet)
	if !ok || !c.leads(ctx) {
		return
	}
	c.moving[s] = movement{
		life:   move.Endpoint.Life,
		layers: move.Layers,
		at:     time.Now(),
	}
	c.Log.WithField("endpoint", move.Endpoint.Endpoint).WithField("from", move.Layers.From).WithField("to", move.Layers.To).Info("endpoint is moved to layers that nobody holds")
	c.carryOut(ctx, fleet, map[identifier.Life]placer.Range{move.Endpoint.Life: move.Layers})
}
