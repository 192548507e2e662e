package relayer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
)

const (
	// moveTimeout is the longest time for moving a stream to another chain;
	// then it is resumed by a new run.
	moveTimeout = 400 * time.Millisecond
	// moveTries bounds the chains that are tried for one move.
	moveTries = 3
)

// chain returns the chain that the attempt uses now.
func (a *attempt) chain() []identifier.Stage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ticket.Chain
}

// request returns the name of the ticket that the attempt uses now.
func (a *attempt) request() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ticket.Request()
}

// move has the first stage go on over a chain without the stage at fault. If
// that can't be, or the first stage is itself at fault, the attempt is ended.
func (a *attempt) move(ctx context.Context, cause *stageError) {
	if !a.moving.CompareAndSwap(false, true) {
		return
	}
	defer a.moving.Store(false)
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	chain := a.chain()
	if chain[0].Life == cause.life || a.stream.engine.Layers == 0 {
		a.cancel(cause)
		return
	}
	avoid := []identifier.Life{cause.life}
	for range moveTries {
		at, err := a.tryMove(ctx, avoid)
		if err == nil {
			return
		}
		a.stream.relayer.log(a.stream.job).WithError(err).WithField("avoided", cause.life.Endpoint).Info("stream not moved to another chain")
		if !errors.Is(err, director.ErrPart) || at.Endpoint == "" || at == chain[0].Life {
			break
		}
		avoid = append(avoid, at)
	}
	a.cancel(cause)
}

// tryMove gets a chain with the same first stage and orders the stream onto it.
// After director.ErrPart it returns the stage that could not take part.
func (a *attempt) tryMove(ctx context.Context, avoid []identifier.Life) (identifier.Life, error) {
	x := a.stream.relayer
	ask := a.stream.ask()
	ask.Resumed = true
	ask.Moves = a.request()
	for _, l := range avoid {
		ask.Avoid = append(ask.Avoid, markOf(l))
	}
	ticket, err := x.Tickets.Acquire(ctx, a.stream.job.Service, ask)
	if err != nil {
		return identifier.Life{}, err
	}
	address, err := x.Orders.Repath(ctx, a.stream.job.Request.ID, ticket.Chain)
	if err != nil {
		ticket.Release(acquirer.Outcome{})
		return stageAt(ticket.Chain, address).Life, err
	}
	a.change(ticket, avoid[0])
	return identifier.Life{}, nil
}

// change puts the attempt on another ticket; the old one failed at the life.
func (a *attempt) change(ticket *acquirer.Ticket, failed identifier.Life) {
	a.mu.Lock()
	old := a.ticket
	ended := a.ended
	if !ended {
		a.ticket = ticket
	}
	a.mu.Unlock()
	if ended {
		ticket.Release(acquirer.Outcome{})
		return
	}
	a.stream.relayer.Reporter.Moved(a.stream.job.Service)
	old.Release(acquirer.Outcome{Failed: failed})
	a.stream.relayer.log(a.stream.job).WithField("avoided", failed.Endpoint).WithField("chain", describe(ticket.Chain)).Info("stream moved to another chain")
}

// finish returns the ticket in use; after it the attempt is not moved any more.
func (a *attempt) finish() *acquirer.Ticket {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.ticket
}

func markOf(l identifier.Life) *messenger.Mark {
	return &messenger.Mark{
		Endpoint:    string(l.Endpoint),
		Incarnation: uint64(l.Incarnation),
	}
}
