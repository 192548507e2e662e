package proxier

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/publisher"
)

const (
	// maxOutdatedTickets is how many tickets in a row are given back because an endpoint of
	// their chains has left, before the request is refused. What the first one tells the
	// pool's owner holds there from then on.
	maxOutdatedTickets = 4
	// outdatedRetryAfter is when a caller that was refused for that reason may come again.
	outdatedRetryAfter = 500 * time.Millisecond
)

// acquireListed acquires a chain without the endpoints in avoid, and without one of which this
// instance knows that it leaves or has left: the pool's owner may have been away and decide on
// an old list. The stages in held run the request already and may stay. newAsk returns a new
// request for a chain.
func (s *stream) acquireListed(ctx context.Context, avoid []identifier.EndpointIncarnation, held []identifier.Stage, newAsk func() *messenger.Ask) (*acquirer.Ticket, error) {
	avoid = slices.Clone(avoid)
	paid := false
	for range maxOutdatedTickets {
		ask := newAsk()
		ask.Retry = ask.GetRetry() && !paid
		for _, incarnation := range avoid {
			ask.Avoid = append(ask.Avoid, markOf(incarnation))
		}
		ticket, err := s.proxier.Tickets.Acquire(ctx, s.job.Service, ask)
		if err != nil {
			return nil, err
		}
		if ask.GetRetry() {
			if err := s.checkRetry(ticket); err != nil {
				return nil, err
			}
			paid = true
		}
		left := s.proxier.left(time.Now(), ticket, held)
		if len(left) == 0 {
			return ticket, nil
		}
		s.proxier.giveBack(s.job, ticket, left)
		for _, d := range left {
			avoid = append(avoid, d.EndpointIncarnation)
		}
	}
	return nil, &classifier.Error{
		Kind:       classifier.NoChain,
		Detail:     "the pool's owner granted only chains with endpoints that have left",
		RetryAfter: outdatedRetryAfter,
	}
}

// left returns the endpoints of a ticket's chain, but for those in held, that this instance
// knows to leave or to have left. Of one that is not in this instance's list it is not known if the owner's list is
// newer: then the endpoint may be new.
func (p *Proxier) left(now time.Time, ticket *acquirer.Ticket, held []identifier.Stage) []cataloguer.Departure {
	own := p.Publisher.List()
	v := p.Publisher.View()
	var out []cataloguer.Departure
	for _, s := range ticket.Chain {
		if contains(held, s.EndpointIncarnation) {
			continue
		}
		at, departed := v.Departed(s.EndpointIncarnation)
		if !departed {
			at = own
		}
		known := departed || ticket.List != identifier.Position{}
		listing := v.Listing(s.EndpointIncarnation)
		if listing == publisher.Leaving || listing == publisher.Unlisted && known && !at.Before(ticket.List) {
			out = append(out, cataloguer.Departure{
				EndpointIncarnation: s.EndpointIncarnation,
				At:                  at,
				LearnedAt:           now,
			})
		}
	}
	return out
}

// giveBack returns a ticket with endpoints that leave or have left to the pool's owner, and
// tells it of those that have left.
func (p *Proxier) giveBack(job Job, ticket *acquirer.Ticket, left []cataloguer.Departure) {
	own := p.Publisher.List()
	v := p.Publisher.View()
	var names []string
	var departures []cataloguer.Departure
	for _, d := range left {
		names = append(names, string(d.Endpoint))
		if v.Listing(d.EndpointIncarnation) == publisher.Unlisted {
			departures = append(departures, d)
		}
	}
	p.Reporter.CountOutdatedTicket(job.Service)
	p.log(job).WithFields(logrus.Fields{
		"owner":         ticket.Owner,
		"owner-era":     ticket.List.Era,
		"owner-version": ticket.List.Version,
		"era":           own.Era,
		"version":       own.Version,
		"chain":         formatChain(ticket.Chain),
		"left":          names,
	}).Warn("ticket given back: an endpoint of its chain has left")
	ticket.GiveBack(departures)
}
