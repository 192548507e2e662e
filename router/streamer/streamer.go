// Package streamer runs one model request to its end: it acquires a ticket, reads the
// tokens in order, and resumes on another chain when one fails, so that the caller
// sees neither missing nor repeated tokens.
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

// Tickets grants tickets. acquirer.Acquirer implements it.
type Tickets interface {
	Acquire(ctx context.Context, s identifier.Service, ask *messenger.Ask) (*acquirer.Ticket, error)
}

// Request is one request as its caller sent it, with the settings that apply to it.
type Request struct {
	ID        identifier.Request
	Service   identifier.Service
	Prompt    string
	MaxTokens identifier.Tokens
	Priority  int
	// Layers and Version are the layer count and model version declared for the
	// service. A request keeps its version when it resumes on another chain.
	Layers  identifier.Layer
	Version identifier.Version
	// Allowed is called after each wait for a ticket, because the configuration may
	// have changed meanwhile. Its error ends the request unless a chain has already
	// started it.
	Allowed func() error
	// ProgressTimeout is how long a chain may send nothing before it is abandoned.
	ProgressTimeout time.Duration
	// Ask is the template of the ticket requests; the streamer fills in the rest.
	Ask *messenger.Ask
	// TokenGapTarget is the rank's target for the time between two tokens; zero if it
	// has none.
	TokenGapTarget time.Duration
}

// Result describes how a request ended. Finish is set only if the response is
// complete.
type Result struct {
	Finish string
	Tokens identifier.Tokens
	// Attempts is the number of tickets that were requested, each for one chain.
	Attempts int
}

// Sink receives the tokens one by one, in order. An error ends the request.
type Sink func(token string) error

// Watcher is notified of the progress of requests, for metrics and traces.
type Watcher interface {
	// StartAttempt starts a span for one attempt on a chain and returns a function that
	// ends it.
	StartAttempt(ctx context.Context, chain []identifier.Stage) (context.Context, func(err error))
	// StartQueue starts a span for the wait for a ticket and returns a function that ends
	// it.
	StartQueue(ctx context.Context) func(err error)
	// RecordLateToken records a time between two tokens that exceeded the target.
	RecordLateToken(ctx context.Context, index int64, gap time.Duration)
}

// Streamer runs requests. Set the exported fields before the first call to Run.
type Streamer struct {
	Tickets Tickets
	Engine  driver.Engine
	Watcher Watcher
	Budget  *Budget
	Log     logrus.FieldLogger
	// OnLeaving is called for each endpoint that announces that it is leaving.
	OnLeaving func(identifier.EndpointIncarnation)
}

// maxChainFailures is how many chains may fail during one request before it fails
// too. A chain that is given up for more urgent work does not count.
const maxChainFailures = 6

// Run runs request and passes the tokens to sink. It returns a nil error only after the
// complete response; the kind of the error says whether anything ran.
func (s *Streamer) Run(ctx context.Context, request Request, sink Sink) (Result, error) {
	r := &run{
		streamer: s,
		request:  request,
		sink:     sink,
	}
	s.Budget.Earn()
	for {
		err := r.attempt(ctx)
		if r.finishReason != "" && err == nil {
			return r.result(), nil
		}
		if final := r.terminalError(ctx, err); final != nil {
			return r.result(), final
		}
	}
}

// run is the state of one request.
type run struct {
	streamer  *Streamer
	request   Request
	sink      Sink
	delivered []string
	avoid     []identifier.EndpointIncarnation
	// started is set once an engine may have begun to run the request.
	started       bool
	attempts      int
	chainFailures int
	finishReason  string
}

func (r *run) result() Result {
	return Result{
		Finish:   r.finishReason,
		Tokens:   identifier.Tokens(len(r.delivered)),
		Attempts: r.attempts,
	}
}

// errSink wraps an error of the sink, which means that the caller is gone.
var errSink = errors.New("write to the caller failed")

// errRevoked reports that the pool owner revoked the ticket for more urgent work.
var errRevoked = errors.New("the ticket was revoked")

// terminalError returns the error that ends the request, or nil if the request goes
// on with another attempt.
func (r *run) terminalError(ctx context.Context, err error) error {
	var classified *classifier.Error
	switch {
	case errors.Is(context.Cause(ctx), classifier.ErrStopping) && !r.started:
		return classifier.NewStopping(err)
	case ctx.Err() != nil || errors.Is(err, errSink):
		return classifier.Wrap(classifier.Cancelled, err, "the caller disconnected")
	case errors.Is(err, errRevoked):
		return nil
	case errors.As(err, &classified):
		return r.refusalError(classified)
	}
	r.streamer.Log.WithError(err).WithField("request", r.request.ID).WithField("held", len(r.delivered)).Warn("chain given up")
	r.chainFailures++
	if r.chainFailures < maxChainFailures && r.streamer.Budget.Spend() {
		return nil
	}
	return r.brokenError(err)
}

// refusalError returns the error for a refused ticket. "ran: no" must stay true: once
// something may have run, the refusal of the next ticket is reported as an
// unknown outcome or a broken stream.
func (r *run) refusalError(refused *classifier.Error) error {
	if !r.started {
		return refused
	}
	return r.brokenError(refused)
}

func (r *run) brokenError(err error) error {
	switch {
	case !r.started:
		return classifier.Wrap(classifier.NotReached, err, "no endpoint accepted the request")
	case len(r.delivered) == 0:
		return classifier.Wrap(classifier.OutcomeUnknown, err, "the endpoint failed before it sent a token")
	}
	return classifier.Wrap(classifier.StreamBroken, err, "the stream failed and could not be resumed; the response so far is incomplete")
}

// attempt acquires a ticket and reads the response from its chain.
func (r *run) attempt(ctx context.Context) error {
	ask := r.ask()
	endWait := r.streamer.Watcher.StartQueue(ctx)
	ticket, err := r.streamer.Tickets.Acquire(ctx, r.request.Service, ask)
	endWait(err)
	if err != nil {
		return err
	}
	if err := r.request.Allowed(); err != nil && !r.started {
		ticket.Release(acquirer.Outcome{})
		return err
	}
	a := &attempt{
		run:        r,
		requestID:  identifier.Request(ask.GetRequest()),
		ticket:     ticket,
		start:      time.Now(),
		firstIndex: len(r.delivered),
	}
	spanCtx, endSpan := r.streamer.Watcher.StartAttempt(ctx, ticket.Chain)
	err = a.stream(spanCtx)
	endSpan(err)
	ticket.Release(a.outcome(err))
	if faulty := a.faultyEndpoint(err); faulty.Endpoint != "" {
		r.avoid = append(r.avoid, faulty)
	}
	return err
}

func (r *run) ask() *messenger.Ask {
	ask := &messenger.Ask{
		Request:      fmt.Sprintf("%s.%d", r.request.ID, r.attempts),
		Customer:     r.request.Ask.GetCustomer(),
		Rank:         r.request.Ask.GetRank(),
		Free:         r.request.Ask.GetFree(),
		Weight:       r.request.Ask.GetWeight(),
		PromptTokens: r.request.Ask.GetPromptTokens() + int64(len(r.delivered)),
		OutputTokens: int64(r.request.MaxTokens) - int64(len(r.delivered)),
		Prefix:       r.request.Ask.GetPrefix(),
		DataCentre:   r.request.Ask.GetDataCentre(),
		Resumed:      r.started,
		Version:      string(r.request.Version),
		Terms:        r.request.Ask.GetTerms(),
	}
	for _, incarnation := range r.avoid {
		ask.Avoid = append(ask.Avoid, &messenger.Mark{
			Endpoint:    string(incarnation.Endpoint),
			Incarnation: uint64(incarnation.Incarnation),
		})
	}
	r.attempts++
	return ask
}

// deliver passes the next token to the sink.
func (r *run) deliver(token string) error {
	if err := r.sink(token); err != nil {
		return errors.Wrap(errSink, err.Error())
	}
	r.delivered = append(r.delivered, token)
	return nil
}

func (r *run) isAvoided(incarnation identifier.EndpointIncarnation) bool {
	return slices.Contains(r.avoid, incarnation)
}
