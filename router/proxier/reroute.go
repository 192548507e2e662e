package proxier

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
)

const (
	// rerouteTimeout limits the time for rerouting a stream. After that the stream is
	// handed over to a new run.
	rerouteTimeout = 400 * time.Millisecond
	// maxRerouteChains limits the chains that are tried to reroute a stream once.
	maxRerouteChains = 3
)

// chain returns the chain that the attempt currently uses.
func (a *attempt) chain() []identifier.Stage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ticket.Chain
}

// ticketRequest returns the identifier under which the pool owner knows the
// attempt's current ticket.
func (a *attempt) ticketRequest() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ticket.Request()
}

// errFirstStage reports a stream that can't be moved, because its first stage failed or it
// has no other.
var errFirstStage = errors.New("the first stage failed")

// giveUp records that an endpoint of the attempt's chain is to be avoided.
func (a *attempt) giveUp(incarnation identifier.EndpointIncarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Contains(a.givenUp, incarnation) {
		a.givenUp = append(a.givenUp, incarnation)
	}
}

// avoided returns the endpoints that were given up for the attempt since it last made progress
// or was moved.
func (a *attempt) avoided() []identifier.EndpointIncarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.givenUp)
}

// forgive forgets the endpoints that were given up, since the attempt makes progress.
func (a *attempt) forgive() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.givenUp = nil
}

// containsAny reports whether a chain includes one of the endpoint incarnations.
func containsAny(chain []identifier.Stage, incarnations []identifier.EndpointIncarnation) bool {
	return slices.ContainsFunc(incarnations, func(i identifier.EndpointIncarnation) bool { return contains(chain, i) })
}

// errResumed reports a stream that made progress before its turn to be moved.
var errResumed = errors.New("the stream made progress")

// moveAround queues a move and carries it out.
func (a *attempt) moveAround(ctx, search context.Context, cause *stageError) error {
	own := a.queueMove()
	a.stream.proxier.turns.start()
	return a.moveInTurn(ctx, search, cause, own)
}

// moveInTurn makes the first stage continue over a chain without the endpoints that were given
// up, when it is the attempt's turn; own is nil if the attempt can't be moved. ctx is that of the
// wait for the new stages, which outlives the search.
func (a *attempt) moveInTurn(ctx, search context.Context, cause *stageError, own *turn) error {
	if own == nil {
		return errFirstStage
	}
	before := a.lastEventAt.Load()
	err := own.wait(search)
	if err != nil {
		return errors.Wrap(err, "wait for the turn to be moved")
	}
	m := &move{
		turn:      own,
		cause:     cause,
		failed:    a.avoided(),
		notice:    a.silentAt(cause.noticedAt),
		startedAt: time.Now(),
	}
	switch {
	case len(m.failed) == 0 || cause.detail != reasonSlow && a.lastEventAt.Load() != before:
		err = errResumed
	case containsAny(a.chain()[:1], m.failed):
		err = errFirstStage
	default:
		err = a.tryChains(search, m)
	}
	if err != nil {
		own.end()
		return err
	}
	a.awaitReading(ctx, m)
	return nil
}

// tryChains reroutes the stream over one of up to maxRerouteChains chains without the endpoints
// that were given up.
func (a *attempt) tryChains(ctx context.Context, m *move) error {
	ctx, cancel := context.WithTimeout(ctx, rerouteTimeout)
	defer cancel()
	first := a.chain()[0].EndpointIncarnation
	avoid := slices.Clone(m.failed)
	var err error
	for range maxRerouteChains {
		var missing identifier.EndpointIncarnation
		missing, err = a.tryReroute(ctx, m, avoid)
		if err == nil || !errors.Is(err, director.ErrStageUnavailable) || missing.Endpoint == "" || missing == first {
			return err
		}
		avoid = append(avoid, missing)
	}
	return err
}

// tryReroute acquires a chain with the same first stage and without the endpoints in avoid,
// and reroutes the stream over it. With director.ErrStageUnavailable it returns the stage that
// could not join the chain.
func (a *attempt) tryReroute(ctx context.Context, m *move, avoid []identifier.EndpointIncarnation) (identifier.EndpointIncarnation, error) {
	x := a.stream.proxier
	m.askedAt = time.Now()
	ticket, err := a.stream.acquireListed(ctx, avoid, a.chain(), func() *messenger.Ask {
		ask := a.stream.newAsk()
		ask.Resumed = true
		ask.Moves = a.ticketRequest()
		return ask
	})
	if err != nil {
		return identifier.EndpointIncarnation{}, err
	}
	m.ticketAt = time.Now()
	// The next event may come before the response to the order.
	m.event = a.expectEvent()
	address, err := x.Orderer.Repath(ctx, a.stream.job.Request.ID, ticket.Chain)
	if err != nil {
		ticket.Release(acquirer.Outcome{})
		return stageAt(ticket.Chain, address).EndpointIncarnation, err
	}
	m.orderedAt = time.Now()
	a.replaceTicket(ticket, m)
	return identifier.EndpointIncarnation{}, nil
}

// replaceTicket replaces the attempt's ticket after a move, unless the attempt has finished.
func (a *attempt) replaceTicket(ticket *acquirer.Ticket, m *move) {
	a.mu.Lock()
	old := a.ticket
	finished := a.finished
	if !finished {
		a.movedAt.Store(&m.orderedAt)
		a.proving.proven.Store(false)
		a.ticket = ticket
		a.givenUp = slices.DeleteFunc(a.givenUp, func(i identifier.EndpointIncarnation) bool { return !contains(ticket.Chain, i) })
	}
	a.mu.Unlock()
	if finished {
		ticket.Release(acquirer.Outcome{})
		return
	}
	m.chain = ticket.Chain
	a.stream.proxier.Reporter.CountReroute(a.stream.job.Service)
	old.Release(acquirer.Outcome{Failed: firstFailed(old.Chain, m.failed)})
}

// firstFailed returns the first endpoint of a chain that is in failed; zero if none is.
func firstFailed(chain []identifier.Stage, failed []identifier.EndpointIncarnation) identifier.EndpointIncarnation {
	for _, s := range chain {
		if slices.Contains(failed, s.EndpointIncarnation) {
			return s.EndpointIncarnation
		}
	}
	return identifier.EndpointIncarnation{}
}

// formatEndpoints formats endpoints for the log.
func formatEndpoints(incarnations []identifier.EndpointIncarnation) string {
	names := make([]string, 0, len(incarnations))
	for _, i := range incarnations {
		names = append(names, string(i.Endpoint))
	}
	return strings.Join(names, " ")
}

// finish ends the search for another chain and prevents any further rerouting of the attempt.
// It returns the ticket in use, the attempt that replaces this one, if any, and how many
// endpoints may have run the request.
func (a *attempt) finish() (used *acquirer.Ticket, next *attempt, runs int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finished = true
	if a.stopSearch != nil {
		a.stopSearch()
	}
	runs = a.vainRuns
	if a.ran {
		runs++
	}
	return a.ticket, a.next, runs
}

func markOf(incarnation identifier.EndpointIncarnation) *messenger.Mark {
	return &messenger.Mark{
		Endpoint:    string(incarnation.Endpoint),
		Incarnation: uint64(incarnation.Incarnation),
	}
}
