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

// reorderLimit bounds how far ahead of the next token a frame may be.
const reorderLimit = 64

// Errors that end an attempt.
var (
	errChain  = errors.New("the chain does not cover every layer once, in order")
	errStamp  = errors.New("a frame bears other stages than the chain's")
	errFar    = errors.New("a frame is too far ahead")
	errCount  = errors.New("the answer has more tokens than its end says")
	errFailed = errors.New("the engine failed")
)

// attempt is the use of one ticket.
type attempt struct {
	run *run
	// request is the request's name at the engines, new for each attempt.
	request identifier.Request
	ticket  *acquirer.Ticket
	begun   time.Time
	first   int
	last    time.Time
	early   map[int64]string
	end     *driver.Frame
	finish  string
	failed  string
}

// stream opens the chain and reads it to the end of the answer.
func (a *attempt) stream(ctx context.Context) error {
	w := a.run.work
	if !planner.Check(a.ticket.Chain, w.Layers, w.Version) {
		return errChain
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(w.Progress, func() { cancel(driver.ErrSilent) })
	defer silence.Stop()
	unwatch := context.AfterFunc(a.ticket.Revoked, func() { cancel(errRevoked) })
	defer unwatch()
	err := a.read(ctx, silence)
	if cause := context.Cause(ctx); err != nil && cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	if errors.Is(err, driver.ErrSilent) {
		a.forget()
	}
	return err
}

// forget closes the connections to the chain's first stage: one went silent.
func (a *attempt) forget() {
	a.run.streamer.Engine.Forget(a.ticket.Chain[0].Address)
}

func (a *attempt) read(ctx context.Context, silence *time.Timer) error {
	w := a.run.work
	s, err := a.run.streamer.Engine.Open(ctx, driver.Work{
		Request:   a.request,
		Prompt:    w.Prompt,
		Held:      a.run.held,
		MaxTokens: w.MaxTokens,
		Priority:  w.Priority,
		Chain:     a.ticket.Chain,
	})
	if !errors.Is(err, driver.ErrRefused) && !errors.Is(err, driver.ErrNotReached) {
		a.run.started = true
	}
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for a.finish == "" {
		f, err := s.Next()
		if err != nil {
			return err
		}
		if !f.Mine {
			continue
		}
		// The time that the caller takes to read is not the engine's silence.
		silence.Stop()
		if err := a.accept(ctx, f); err != nil {
			return err
		}
		silence.Reset(w.Progress)
	}
	a.run.finish = a.finish
	return nil
}

// accept takes one frame: it drops what it holds already, keeps what is early
// and passes on what is next.
func (a *attempt) accept(ctx context.Context, f driver.Frame) error {
	a.hearLeaving(f)
	switch {
	case f.Failed != "":
		a.failed = f.Failed
		return errors.Wrap(errFailed, f.Failed)
	case f.Finish != "":
		a.end = &f
		return a.conclude()
	case !f.Stamped:
		return errStamp
	}
	next := int64(len(a.run.held))
	switch {
	case f.Index < next:
		return nil
	case f.Index > next+reorderLimit:
		return errFar
	case f.Index > next:
		a.keep(f)
		return nil
	}
	if err := a.pass(ctx, f.Token); err != nil {
		return err
	}
	if err := a.drain(ctx); err != nil {
		return err
	}
	return a.conclude()
}

// conclude ends the answer if its last frame is here and every token before it;
// tokens that it counts but that are not here yet may still come.
func (a *attempt) conclude() error {
	if a.end == nil || a.end.Index > int64(len(a.run.held)) {
		return nil
	}
	if a.end.Index < int64(len(a.run.held)) {
		return errCount
	}
	a.finish = a.end.Finish
	return nil
}

func (a *attempt) keep(f driver.Frame) {
	if a.early == nil {
		a.early = make(map[int64]string)
	}
	if _, ok := a.early[f.Index]; !ok {
		a.early[f.Index] = f.Token
	}
}

// drain passes on the early tokens whose turn has come.
func (a *attempt) drain(ctx context.Context) error {
	for {
		index := int64(len(a.run.held))
		token, ok := a.early[index]
		if !ok {
			return nil
		}
		delete(a.early, index)
		if err := a.pass(ctx, token); err != nil {
			return err
		}
	}
}

func (a *attempt) pass(ctx context.Context, token string) error {
	now := time.Now()
	if target := a.run.work.Target; !a.last.IsZero() && now.Sub(a.last) > target && target > 0 {
		a.run.streamer.Watcher.Late(ctx, int64(len(a.run.held)), now.Sub(a.last))
	}
	a.last = now
	return a.run.take(token)
}

func (a *attempt) hearLeaving(f driver.Frame) {
	for _, e := range f.Leaving {
		for _, s := range a.ticket.Chain {
			if s.Endpoint == e {
				a.run.streamer.Leaving(s.Life)
			}
		}
	}
}

// outcome tells the owner how the ticket was used.
func (a *attempt) outcome(err error) acquirer.Outcome {
	tokens := len(a.run.held) - a.first
	o := acquirer.Outcome{
		Tokens: identifier.Tokens(tokens),
		Failed: a.atFault(err),
	}
	if tokens > 1 {
		o.Gap = a.last.Sub(a.begun) / time.Duration(tokens)
	}
	return o
}

// atFault names the endpoint that broke the attempt; zero if none did. Where
// the engine doesn't say which, it is the one that the entry spoke to.
func (a *attempt) atFault(err error) identifier.Life {
	if err == nil || errors.Is(err, errRevoked) || errors.Is(err, errSink) || errors.Is(err, context.Canceled) {
		return identifier.Life{}
	}
	for _, s := range a.ticket.Chain {
		if a.failed != "" && strings.HasSuffix(a.failed, " "+string(s.Endpoint)) {
			return s.Life
		}
	}
	for _, s := range a.ticket.Chain {
		if !a.run.avoids(s.Life) {
			return s.Life
		}
	}
	return a.ticket.Chain[0].Life
}
