package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/assigner"
	"heatherhold.dev/router/executor"
)

const (
	// sweeperPool is the name under which the instance is chosen that removes rows of the
	// registry.
	sweeperPool = identifier.Service("registry\x00")
	// defaultSweepAfter is how long this instance must have heard nothing of an instance,
	// not even through others, before it removes the row. An instance that hears of no other
	// waits aloneFactor times as long: it may be cut off itself.
	defaultSweepAfter = time.Minute
	aloneFactor       = 10
	// maxSwept is how many rows are removed after one reading of the registry.
	maxSwept = 20
)

// silentRows are the rows of instances that nobody heard from, with the time since when. The
// zero value is usable.
type silentRows struct {
	since map[string]silentRow
}

// silentRow is a row and the time since when its instance is known to be silent.
type silentRow struct {
	row   identifier.RowVersion
	since time.Time
}

// update records the rows that belong to no member at now, and returns those that have
// belonged to none for longer than limit without being written again, the oldest last.
func (s *silentRows) update(now time.Time, unheard []messenger.RegisteredInstance, limit time.Duration) []messenger.RegisteredInstance {
	next := make(map[string]silentRow, len(unheard))
	var out []messenger.RegisteredInstance
	for _, l := range unheard {
		known, ok := s.since[l.Name]
		if !ok || known.row != l.Row {
			known = silentRow{
				row:   l.Row,
				since: now,
			}
		}
		next[l.Name] = known
		if now.Sub(known.since) > limit {
			out = append(out, l)
		}
	}
	s.since = next
	return out
}

// sweep removes rows of instances that are gone, if this instance is the one that does. Each
// of them is asked once more before. An instance whose row was removed by mistake writes it
// again when it next reads the registry without it.
func (c *Controller) sweep(ctx context.Context, era identifier.Era, unheard []messenger.RegisteredInstance) {
	live, err := executor.Get(ctx, c.Loop, c.state.Live)
	if err != nil {
		return
	}
	limit := c.Source.SweepAfter
	if limit == 0 {
		limit = defaultSweepAfter
	}
	if len(live) <= 1 {
		limit *= aloneFactor
	}
	gone := c.registry.silent.update(time.Now(), unheard, limit)
	sweeper, _ := assigner.Owner(sweeperPool, live)
	if len(gone) == 0 || sweeper != c.Settings.Instance || c.Publisher.Stopping() {
		return
	}
	gone = gone[max(len(gone)-maxSwept, 0):]
	c.probe(ctx, gone)
	still, err := executor.Get(ctx, c.Loop, func() []messenger.RegisteredInstance { return c.unheard(gone) })
	if err != nil || len(still) == 0 {
		return
	}
	log := c.Log.WithField("instances", namesOf(still))
	if err := c.Source.Registry.Remove(ctx, era, still); err != nil {
		log.WithError(err).Info("rows of instances that are gone not removed; tried again")
		return
	}
	log.Info("rows of instances that are gone removed")
}

func namesOf(instances []messenger.RegisteredInstance) []string {
	var names []string
	for _, l := range instances {
		names = append(names, l.Name)
	}
	return names
}

// deregister removes this instance's own row, at the end of a planned stop.
func (c *Controller) deregister(ctx context.Context) error {
	at := c.registry.position()
	if at == (identifier.Position{}) {
		return nil
	}
	err := c.Source.Registry.Remove(ctx, at.Era, []messenger.RegisteredInstance{{
		ListedInstance: c.ownListing(),
		Row:            at.Version,
	}})
	return errors.Wrap(err, "remove own row from the registry")
}
