package proxier

import (
	"context"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/mover"
)

// move is one move of a stream to another chain.
type move struct {
	turn *turn
	// failed are the endpoints that are left.
	failed []identifier.EndpointIncarnation
	// startedAt is when the first ticket was requested, and orderedAt when the first stage
	// accepted the order.
	startedAt time.Time
	orderedAt time.Time
	// event gets the time of the next event from the order on.
	event <-chan time.Time
}

// awaitTurn waits until the attempt may be moved.
func (a *attempt) awaitTurn(ctx context.Context) (*turn, error) {
	last := a.startedAt
	if latest := a.lastEventAt.Load(); latest != nil {
		last = *latest
	}
	job := a.stream.job
	return a.stream.proxier.turns.wait(ctx, job.Service, mover.Stream{
		LastEvent:    last,
		LongestPause: job.Route.Gap,
		Order:        job.Order,
	})
}

// expectEvent returns a channel that gets the time of the next event. It is closed without one
// if the next event is expected anew.
func (a *attempt) expectEvent() <-chan time.Time {
	c := make(chan time.Time, 1)
	if old := a.expected.Swap(&c); old != nil {
		close(*old)
	}
	return c
}

// reportEvent passes on the time of an event to whoever expects it.
func (a *attempt) reportEvent(now time.Time) {
	if c := a.expected.Swap(nil); c != nil {
		*c <- now
		close(*c)
	}
}

// awaitReading waits in the background until the new stages of a moved stream have read its
// prompt, which the next event shows. Until then, or for as long as the reading may take, the
// turn is kept.
func (a *attempt) awaitReading(ctx context.Context, m *move) {
	x := a.stream.proxier
	x.turns.readings.Go(func() error {
		defer m.turn.end()
		if at, ok := a.nextEvent(ctx, m); ok && at.After(m.orderedAt) {
			x.turns.observe(a.stream.job.Service, at.Sub(m.startedAt))
		}
		return nil
	})
}

// nextEvent waits for the next event of a moved stream. It ends the turn once the new stages
// have had the time to read. The result is false if there is no such event.
func (a *attempt) nextEvent(ctx context.Context, m *move) (time.Time, bool) {
	limit := time.NewTimer(mover.Reading(a.stream.job.Route.Gap))
	defer limit.Stop()
	for {
		select {
		case at, ok := <-m.event:
			return at, ok
		case <-limit.C:
			m.turn.end()
		case <-a.ctx.Done():
			return time.Time{}, false
		case <-ctx.Done():
			return time.Time{}, false
		}
	}
}
