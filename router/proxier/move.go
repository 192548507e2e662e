package proxier

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/mover"
	"heatherhold.dev/router/reporter"
)

// move is one move of a stream to another chain.
type move struct {
	turn  *turn
	cause *stageError
	// failed are the endpoints that are left, and chain is the new one; nil if the stream ended
	// first.
	failed []identifier.EndpointIncarnation
	chain  []identifier.Stage
	// notice is how long the stream had been without an event when it was seen to be stalled.
	notice time.Duration
	// startedAt is when the stream's turn began. askedAt is when the ticket was requested that
	// was used in the end, ticketAt when it was granted, and orderedAt when the first stage
	// accepted the order.
	startedAt time.Time
	askedAt   time.Time
	ticketAt  time.Time
	orderedAt time.Time
	// event gets the time of the next event from the order on.
	event <-chan time.Time
}

// lastSign returns when the attempt last had an event or, before the first, when it started.
func (a *attempt) lastSign() time.Time {
	if latest := a.lastEventAt.Load(); latest != nil {
		return *latest
	}
	return a.startedAt
}

// silentAt returns for how long the attempt had been without an event at t.
func (a *attempt) silentAt(t time.Time) time.Duration {
	return max(t.Sub(a.lastSign()), 0)
}

// queueMove adds a move of the attempt; nil if it can't be moved. A run that is not proven may have
// crashed the stage that is left, and must not reach another one unless it is admitted anew.
func (a *attempt) queueMove() *turn {
	if containsAny(a.chain()[:1], a.avoided()) || a.stream.engine.Layers == 0 || !a.movable() {
		return nil
	}
	job := a.stream.job
	return a.stream.proxier.turns.add(job.Service, mover.Stream{
		LastEvent:    a.lastSign(),
		LongestPause: job.Route.Gap,
		Order:        job.Order,
	})
}

// movable reports whether what is known of the request lets another stage run it without being
// asked anew: it is proven, or has begun to answer and no endpoint crashed under the same request
// or a suspected part before.
func (a *attempt) movable() bool {
	if a.proven() {
		return true
	}
	if a.progress() == answerHeader {
		return false
	}
	return !a.stream.proxier.Quarantiner.Suspects(time.Now(), a.stream.keys)
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
		at, ok := a.nextEvent(ctx, m)
		if ok && at.After(m.orderedAt) {
			// A later silence of the new chain says nothing about how long moves take.
			x.turns.observe(a.stream.job.Service, min(at.Sub(m.startedAt), a.stream.job.Route.Gap))
		}
		if m.chain != nil {
			a.reportMove(m, at, ok)
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

// reportMove records the steps of a move and logs it. The stream's next event came at next, if
// resumed is set; otherwise the stream ended without one, or has been moved again.
func (a *attempt) reportMove(m *move, next time.Time, resumed bool) {
	x, service := a.stream.proxier, a.stream.job.Service
	log := x.log(a.stream.job).WithFields(logrus.Fields{
		"avoided":     formatEndpoints(m.failed),
		"chain":       formatChain(m.chain),
		"notice-ms":   m.notice.Milliseconds(),
		"question-ms": m.cause.question.Milliseconds(),
		"turn-ms":     m.askedAt.Sub(m.cause.noticedAt.Add(m.cause.question)).Milliseconds(),
		"ticket-ms":   m.ticketAt.Sub(m.askedAt).Milliseconds(),
		"order-ms":    m.orderedAt.Sub(m.ticketAt).Milliseconds(),
	})
	x.Reporter.RecordMove(service, reporter.MoveNotice, m.notice)
	x.Reporter.RecordMove(service, reporter.MoveQuestion, m.cause.question)
	x.Reporter.RecordMove(service, reporter.MoveTicket, m.ticketAt.Sub(m.askedAt))
	x.Reporter.RecordMove(service, reporter.MoveOrder, m.orderedAt.Sub(m.ticketAt))
	if resumed {
		reading := max(next.Sub(m.orderedAt), 0)
		x.Reporter.RecordMove(service, reporter.MoveReading, reading)
		log = log.WithField("reading-ms", reading.Milliseconds())
	}
	log.Info("stream moved to another chain")
}
