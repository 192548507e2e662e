// Package streamer carries one model request through: it gets a ticket, reads
// the tokens in order, and goes on at another chain when one breaks, so that
// the caller sees neither gap nor repeat.
package streamer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/driver"
)

// Tickets gives tickets; acquirer.Acquirer is the real one.
type Tickets interface {
	Acquire(ctx context.Context, s identifier.Service, ask *messenger.Ask) (*acquirer.Ticket, error)
}

// Work is one request as its caller wants it.
type Work struct {
	Request   identifier.Request
	Service   identifier.Service
	Prompt    string
	MaxTokens identifier.Tokens
	Priority  int
	// Layers and Version are what the service is declared to run. A request
	// keeps to its version, also when it goes on at another chain.
	Layers  identifier.Layer
	Version identifier.Version
	// Allowed is asked after each wait for a ticket: the configuration may have
	// changed meanwhile.
	Allowed func() error
	// Progress is the longest silence before a chain is given up.
	Progress time.Duration
	// Ask is the request for tickets; the streamer completes it.
	Ask *messenger.Ask
	// Target is the time between tokens that the rank aims at.
	Target time.Duration
}

// Result is how a whole answer ended.
type Result struct {
	Finish string
	Tokens identifier.Tokens
	// Attempts counts the chains that were used.
	Attempts int
}

// Sink takes each token as it comes, in order. An error ends the request.
type Sink func(token string) error

// Watcher is told of what happens, for metrics and traces.
type Watcher interface {
	// Attempt opens a span for one attempt on a chain and returns what ends it.
	Attempt(ctx context.Context, chain []identifier.Stage) (context.Context, func(err error))
	// Queue opens a span for the wait for a ticket and returns what ends it.
	Queue(ctx context.Context) func(err error)
	// Late notes a gap between tokens that missed its target.
	Late(ctx context.Context, index int64, gap time.Duration)
}

// Streamer runs requests. Set the exported fields first.
type Streamer struct {
	Tickets Tickets
	Engine  driver.Engine
	Watcher Watcher
	Budget  *Budget
	Log     logrus.FieldLogger
	// Leaving is told of endpoints that say that they leave.
	Leaving func(identifier.Life)
}

// maxBreaks bounds the chains that may break under one request. A chain that is
// given up for more urgent work does not count.
const maxBreaks = 6

// Run streams w to sink until its end. It returns nil only after the whole
// answer; the error's kind says whether anything ran.
func (s *Streamer) Run(ctx context.Context, w Work, sink Sink) (Result, error) {
	r := &run{
		streamer: s,
		work:     w,
		sink:     sink,
	}
	s.Budget.Earn()
	for {
		err := r.attempt(ctx)
		if r.finish != "" && err == nil {
			return r.result(), nil
		}
		if final := r.final(ctx, err); final != nil {
			return r.result(), final
		}
	}
}

// run is the state of one request.
type run struct {
	streamer *Streamer
	work     Work
	sink     Sink
	held     []string
	avoid    []identifier.Life
	started  bool
	attempts int
	breaks   int
	finish   string
}

func (r *run) result() Result {
	return Result{
		Finish:   r.finish,
		Tokens:   identifier.Tokens(len(r.held)),
		Attempts: r.attempts,
	}
}

// errSink wraps the sink's error: the caller is gone.
var errSink = errors.New("the caller does not read")

// errRevoked says that the chain was wanted for more urgent work.
var errRevoked = errors.New("the ticket was revoked")

// final returns the error that ends the request, or nil if it goes on.
func (r *run) final(ctx context.Context, err error) error {
	var kind *classifier.Error
	switch {
	case ctx.Err() != nil || errors.Is(err, errSink):
		return classifier.Wrap(classifier.Cancelled, err, "the caller went away")
	case errors.Is(err, errRevoked):
		return nil
	case errors.As(err, &kind):
		return r.refusal(kind)
	}
	r.streamer.Log.WithError(err).WithField("request", r.work.Request).WithField("held", len(r.held)).Warn("chain given up")
	r.breaks++
	if r.breaks < maxBreaks && r.streamer.Budget.Spend() {
		return nil
	}
	return r.broken(err)
}

// refusal keeps the promise of "ran: no": once something ran, a refusal of the
// next ticket is a broken stream.
func (r *run) refusal(kind *classifier.Error) error {
	if !r.started {
		return kind
	}
	return r.broken(kind)
}

func (r *run) broken(err error) error {
	switch {
	case !r.started:
		return classifier.Wrap(classifier.NotReached, err, "no endpoint took the request")
	case len(r.held) == 0:
		return classifier.Wrap(classifier.OutcomeUnknown, err, "the endpoint was lost before its first token")
	}
	return classifier.Wrap(classifier.StreamBroken, err, "the stream broke and could not be resumed; the answer so far is not whole")
}

// attempt gets a ticket and reads its chain to the end.
func (r *run) attempt(ctx context.Context) error {
	ask := r.ask()
	waited := r.streamer.Watcher.Queue(ctx)
	ticket, err := r.streamer.Tickets.Acquire(ctx, r.work.Service, ask)
	waited(err)
	if err != nil {
		return err
	}
	if err := r.work.Allowed(); err != nil && !r.started {
		ticket.Release(acquirer.Outcome{})
		return err
	}
	a := &attempt{
		run:     r,
		request: identifier.Request(ask.GetRequest()),
		ticket:  ticket,
		begun:   time.Now(),
		first:   len(r.held),
	}
	spanned, end := r.streamer.Watcher.Attempt(ctx, ticket.Chain)
	err = a.stream(spanned)
	end(err)
	ticket.Release(a.outcome(err))
	if at := a.atFault(err); at.Endpoint != "" {
		r.avoid = append(r.avoid, at)
	}
	return err
}

func (r *run) ask() *messenger.Ask {
	a := &messenger.Ask{
		Request:      fmt.Sprintf("%s.%d", r.work.Request, r.attempts),
		Customer:     r.work.Ask.GetCustomer(),
		Rank:         r.work.Ask.GetRank(),
		Free:         r.work.Ask.GetFree(),
		Weight:       r.work.Ask.GetWeight(),
		PromptTokens: r.work.Ask.GetPromptTokens() + int64(len(r.held)),
		OutputTokens: int64(r.work.MaxTokens) - int64(len(r.held)),
		Prefix:       r.work.Ask.GetPrefix(),
		DataCentre:   r.work.Ask.GetDataCentre(),
		Resumed:      r.started,
		Version:      string(r.work.Version),
		Terms:        r.work.Ask.GetTerms(),
	}
	for _, l := range r.avoid {
		a.Avoid = append(a.Avoid, &messenger.Mark{
			Endpoint:    string(l.Endpoint),
			Incarnation: uint64(l.Incarnation),
		})
	}
	r.attempts++
	return a
}

// take accepts the next token.
func (r *run) take(token string) error {
	if err := r.sink(token); err != nil {
		return errors.Wrap(errSink, err.Error())
	}
	r.held = append(r.held, token)
	return nil
}

func (r *run) avoids(l identifier.Life) bool {
	return slices.Contains(r.avoid, l)
}
