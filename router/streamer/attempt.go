package streamer

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/driver"
	"heatherhold.dev/router/planner"
)

// reorderLimit is how many tokens ahead of the next token a frame may be.
const reorderLimit = 64

// Errors that end an attempt.
var (
	errInvalidChain  = errors.New("the chain does not cover every layer once, in order")
	errStageMismatch = errors.New("the stamps of a frame differ from the stages of the chain")
	errTooFarAhead   = errors.New("the token index of a frame is too far ahead")
	errTokenCount    = errors.New("the engine sent more tokens than its last frame counts")
	errEngineFailed  = errors.New("the engine reported an error")
)

// attempt is one attempt to run the request, on the chain of one ticket.
type attempt struct {
	run *run
	// requestID is the request's ID at the engines; it is different for each attempt.
	requestID     identifier.Request
	ticket        *acquirer.Ticket
	start         time.Time
	firstIndex    int
	lastTokenTime time.Time
	buffered      map[int64]string
	endFrame      *driver.Frame
	finishReason  string
	engineError   string
}

// stream opens a stream on the chain and reads it until the response is complete.
func (a *attempt) stream(ctx context.Context) error {
	r := a.run.request
	if !planner.Check(a.ticket.Chain, r.Layers, r.Version) {
		return errInvalidChain
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progressTimer := time.AfterFunc(r.ProgressTimeout, func() { cancel(driver.ErrNoProgress) })
	defer progressTimer.Stop()
	stopWatch := context.AfterFunc(a.ticket.Revoked, func() { cancel(errRevoked) })
	defer stopWatch()
	err := a.read(ctx, progressTimer)
	if cause := context.Cause(ctx); err != nil && cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	if errors.Is(err, driver.ErrNoProgress) {
		a.closeIdle()
	}
	return err
}

// closeIdle closes the idle connections to the chain's first stage, because the
// engine stopped responding on the one in use.
func (a *attempt) closeIdle() {
	a.run.streamer.Engine.CloseIdle(a.ticket.Chain[0].Address)
}

func (a *attempt) read(ctx context.Context, progressTimer *time.Timer) error {
	r := a.run.request
	s, err := a.run.streamer.Engine.Open(ctx, driver.StreamRequest{
		Request:   a.requestID,
		Prompt:    r.Prompt,
		Generated: a.run.delivered,
		MaxTokens: r.MaxTokens,
		Priority:  r.Priority,
		Chain:     a.ticket.Chain,
	})
	if !errors.Is(err, driver.ErrRefused) && !errors.Is(err, driver.ErrNotReached) {
		a.run.started = true
	}
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for a.finishReason == "" {
		f, err := s.Next()
		if err != nil {
			return err
		}
		if !f.RequestMatches {
			continue
		}
		// The timer is stopped meanwhile: the time that the caller takes to read
		// doesn't count as the engine's inactivity.
		progressTimer.Stop()
		if err := a.accept(ctx, f); err != nil {
			return err
		}
		progressTimer.Reset(r.ProgressTimeout)
	}
	a.run.finishReason = a.finishReason
	return nil
}

// accept processes one frame: it drops a token that was already delivered, buffers a
// token that arrived early and delivers the next one.
func (a *attempt) accept(ctx context.Context, f driver.Frame) error {
	a.reportLeaving(f)
	switch {
	case f.EngineError != "":
		a.engineError = f.EngineError
		return errors.Wrap(errEngineFailed, f.EngineError)
	case f.Finish != "":
		a.endFrame = &f
		return a.finishIfComplete()
	case !f.StampsMatch:
		return errStageMismatch
	}
	next := int64(len(a.run.delivered))
	switch {
	case f.Index < next:
		return nil
	case f.Index > next+reorderLimit:
		return errTooFarAhead
	case f.Index > next:
		a.buffer(f)
		return nil
	}
	if err := a.deliver(ctx, f.Token); err != nil {
		return err
	}
	if err := a.deliverBuffered(ctx); err != nil {
		return err
	}
	return a.finishIfComplete()
}

// finishIfComplete completes the response once the last frame and every token before
// it have arrived. Tokens that the last frame counts may still arrive after it.
func (a *attempt) finishIfComplete() error {
	if a.endFrame == nil || a.endFrame.Index > int64(len(a.run.delivered)) {
		return nil
	}
	if a.endFrame.Index < int64(len(a.run.delivered)) {
		return errTokenCount
	}
	a.finishReason = a.endFrame.Finish
	return nil
}

func (a *attempt) buffer(f driver.Frame) {
	if a.buffered == nil {
		a.buffered = make(map[int64]string)
	}
	if _, ok := a.buffered[f.Index]; !ok {
		a.buffered[f.Index] = f.Token
	}
}

// deliverBuffered delivers the buffered tokens that are next in order.
func (a *attempt) deliverBuffered(ctx context.Context) error {
	for {
		index := int64(len(a.run.delivered))
		token, ok := a.buffered[index]
		if !ok {
			return nil
		}
		delete(a.buffered, index)
		if err := a.deliver(ctx, token); err != nil {
			return err
		}
	}
}

func (a *attempt) deliver(ctx context.Context, token string) error {
	now := time.Now()
	if target := a.run.request.TokenGapTarget; !a.lastTokenTime.IsZero() && now.Sub(a.lastTokenTime) > target && target > 0 {
		a.run.streamer.Watcher.RecordLateToken(ctx, int64(len(a.run.delivered)), now.Sub(a.lastTokenTime))
	}
	a.lastTokenTime = now
	return a.run.deliver(token)
}

func (a *attempt) reportLeaving(f driver.Frame) {
	for _, e := range f.Leaving {
		for _, s := range a.ticket.Chain {
			if s.Endpoint == e {
				a.run.streamer.OnLeaving(s.EndpointIncarnation)
			}
		}
	}
}

// outcome returns how the ticket was used, for the owner of the pool.
func (a *attempt) outcome(err error) acquirer.Outcome {
	tokens := len(a.run.delivered) - a.firstIndex
	o := acquirer.Outcome{
		Tokens: identifier.Tokens(tokens),
		Failed: a.faultyEndpoint(err),
	}
	if tokens > 1 {
		o.Gap = a.lastTokenTime.Sub(a.start) / time.Duration(tokens)
	}
	return o
}

// faultyEndpoint returns the endpoint that made the attempt fail, or the zero value if
// none did. If the engine doesn't name one, it is the first stage that isn't avoided
// yet, which is normally the endpoint that the stream was opened at.
func (a *attempt) faultyEndpoint(err error) identifier.EndpointIncarnation {
	if err == nil || errors.Is(err, errRevoked) || errors.Is(err, errSink) || errors.Is(err, context.Canceled) {
		return identifier.EndpointIncarnation{}
	}
	for _, s := range a.ticket.Chain {
		if a.engineError != "" && strings.HasSuffix(a.engineError, " "+string(s.Endpoint)) {
			return s.EndpointIncarnation
		}
	}
	for _, s := range a.ticket.Chain {
		if !a.run.isAvoided(s.EndpointIncarnation) {
			return s.EndpointIncarnation
		}
	}
	return a.ticket.Chain[0].EndpointIncarnation
}
