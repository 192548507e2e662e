package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/exchanger"
)

// stream is one request to a model service.
type stream struct {
	relayer *Relayer
	job     Job
	engine  *cataloguer.Engine
	w       http.ResponseWriter
	started bool
	ran     bool
	runs    int
	tries   int
	avoid   []identifier.Life
	// last is the last event that the caller holds.
	last int64
	// passed counts the events that were passed on.
	passed int64
	timing timing
}

// timing is what a stream's caller saw.
type timing struct {
	begun time.Time
	// queued is the time spent waiting for chains, and first the time to the
	// first event.
	queued time.Duration
	first  time.Duration
	// latest is when the last event was passed on, and longest the longest
	// pause between two events.
	latest  time.Time
	longest time.Duration
}

// note counts an event.
func (t *timing) note(now time.Time) {
	if t.latest.IsZero() {
		t.first = now.Sub(t.begun)
	} else {
		t.longest = max(t.longest, now.Sub(t.latest))
	}
	t.latest = now
}

// triesLimit bounds the sends of one request, those that did not run included.
const triesLimit = 8

func (s *stream) run(ctx context.Context) error {
	for {
		err := s.attempt(ctx)
		if err == nil {
			s.report()
			return nil
		}
		again := s.mayRepeat(ctx, err)
		if !errors.Is(ctx.Err(), context.Canceled) {
			s.relayer.Log.WithFields(s.job.fields()).WithError(err).WithField("last", s.last).WithField("again", again).Warn("stream broken off by its chain")
		}
		if !again {
			return end(ctx, s.ran, err)
		}
	}
}

// report logs a stream that was whole and late.
func (s *stream) report() {
	route := s.job.Route
	if s.timing.first <= route.Target && s.timing.longest <= route.Gap {
		return
	}
	s.relayer.Log.WithFields(s.job.fields()).WithFields(logrus.Fields{
		"queued-ms":  s.timing.queued.Milliseconds(),
		"first-ms":   s.timing.first.Milliseconds(),
		"longest-ms": s.timing.longest.Milliseconds(),
		"tries":      s.tries,
		"events":     s.passed,
	}).Info("stream was late")
}

// mayRepeat reports whether the request may go to another chain.
func (s *stream) mayRepeat(ctx context.Context, err error) bool {
	var kind *classifier.Error
	if ctx.Err() != nil || errors.As(err, &kind) || errors.Is(err, errCaller) || s.tries >= triesLimit {
		return false
	}
	notRun := errors.Is(err, exchanger.ErrNotSent) || errors.Is(err, errNotRun)
	if s.ran && !s.job.Route.Repetition.Repeatable() {
		return false
	}
	if !notRun && s.runs >= s.job.Route.Attempts {
		return false
	}
	return s.relayer.budget(s.job.Service).Spend()
}

// errCaller says that the caller could not be written to.
var errCaller = errors.New("the caller does not read")

// attempt gets a chain and reads its answer to the end.
func (s *stream) attempt(ctx context.Context) error {
	s.tries++
	asked := time.Now()
	ticket, err := s.relayer.Tickets.Acquire(ctx, s.job.Service, s.ask())
	s.timing.queued += time.Since(asked)
	if err != nil {
		return err
	}
	a := &attempt{
		stream: s,
		ticket: ticket,
		first:  s.passed,
		begun:  time.Now(),
	}
	err = a.run(ctx)
	ticket.Release(a.outcome())
	if a.fault.Endpoint != "" {
		s.avoid = append(s.avoid, a.fault)
	}
	return err
}

func (s *stream) ask() *messenger.Ask {
	r := s.job.Request
	held := s.last * int64(s.engine.Stride)
	a := &messenger.Ask{
		Request:      fmt.Sprintf("%s.%d", r.ID, s.tries),
		Customer:     string(s.job.Customer),
		Rank:         string(RankOf(s.job.Order)),
		Weight:       1,
		PromptTokens: int64(r.Prompt) + held,
		OutputTokens: max(int64(r.Output)-held, 1),
		Prefix:       xxhash.Sum64String(r.Prefix),
		DataCentre:   string(s.relayer.DataCentre),
		Resumed:      s.started,
	}
	for _, l := range s.avoid {
		a.Avoid = append(a.Avoid, &messenger.Mark{
			Endpoint:    string(l.Endpoint),
			Incarnation: uint64(l.Incarnation),
		})
	}
	return a
}

// RankOf returns the name of the rank of an urgency.
func RankOf(order int) identifier.Rank {
	return identifier.Rank(fmt.Sprintf("order-%d", order))
}

// attempt is the use of one chain.
type attempt struct {
	stream *stream
	ticket *acquirer.Ticket
	first  int64
	begun  time.Time
	fault  identifier.Life
	answer *exchanger.Answer
	cancel context.CancelCauseFunc
}

// stageError says which stage of a chain is at fault.
type stageError struct {
	life   identifier.Life
	detail string
}

// Error returns the stage and what is wrong with it.
func (e *stageError) Error() string {
	return e.life.String() + " " + e.detail
}

func (a *attempt) run(ctx context.Context) error {
	x := a.stream.relayer
	ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	x.enter(a)
	defer x.leave(a)
	err := a.open(ctx)
	if err == nil {
		err = a.pass(ctx)
	}
	var stage *stageError
	if cause := context.Cause(ctx); err != nil && errors.As(cause, &stage) {
		err = cause
	}
	if errors.As(err, &stage) {
		a.fault = stage.life
	}
	return err
}

// open sends the request to the chain's first stage and reads the answer's head.
func (a *attempt) open(ctx context.Context) error {
	s := a.stream
	chain := a.ticket.Chain
	send := courier.Send{
		Endpoint: chain[0].Endpoint,
		Customer: s.job.Customer,
		Left:     time.Until(s.job.Deadline),
		Order:    s.job.Order,
		After:    s.last,
	}
	if s.engine.Layers > 0 {
		send.Chain = chain
	}
	stop := a.watch(ctx, s.job.Route.Target)
	answer, err := s.relayer.Exchanger.Open(ctx, s.relayer.call(s.job, chain[0].Address, send))
	stop()
	switch {
	case errors.Is(err, exchanger.ErrNotSent):
		s.relayer.Exchanger.Forget(chain[0].Address)
		return a.blame(err, chain[0].Life)
	case err != nil:
		s.ran = true
		s.runs++
		s.relayer.Exchanger.Forget(chain[0].Address)
		return a.blame(err, chain[0].Life)
	}
	a.answer = answer
	return a.judge()
}

// blame notes the stage at fault and returns err.
func (a *attempt) blame(err error, l identifier.Life) error {
	a.fault = l
	return err
}

// judge reads the head of the answer.
func (a *attempt) judge() error {
	s := a.stream
	said := s.relayer.Codec.Answer(s.job.Request, a.answer.Status, a.answer.Header)
	if said.NotRun {
		status := a.answer.Status
		a.answer.Discard()
		return a.blame(errors.Wrapf(errNotRun, "status %d, at fault %q", status, said.AtFault), a.at(said.AtFault))
	}
	s.ran = true
	s.runs++
	if a.answer.Status >= http.StatusInternalServerError && (s.started || (s.job.Route.Repetition.Repeatable() && s.runs < s.job.Route.Attempts)) {
		status := a.answer.Status
		a.answer.Discard()
		return a.blame(errors.Wrapf(errFailed, "status %d", status), a.at(said.AtFault))
	}
	if a.answer.Status != http.StatusOK && s.started {
		status := a.answer.Status
		a.answer.Discard()
		return errors.Wrapf(errFailed, "status %d to a resumed stream", status)
	}
	if !s.started {
		s.begin(a.answer)
	}
	return nil
}

// at returns the life of the chain's stage with the address, or the first.
func (a *attempt) at(address string) identifier.Life {
	for _, st := range a.ticket.Chain {
		if st.Address == address {
			return st.Life
		}
	}
	return a.ticket.Chain[0].Life
}

// begin sends the caller the head of the answer.
func (s *stream) begin(a *exchanger.Answer) {
	s.started = true
	h := s.w.Header()
	for name, values := range s.relayer.Codec.Returned(a.Header) {
		h[name] = values
	}
	s.w.WriteHeader(a.Status)
}

// pass passes the answer's events on, whole and in order.
func (a *attempt) pass(ctx context.Context) error {
	s := a.stream
	if a.answer.Status != http.StatusOK {
		return a.copy()
	}
	out := http.NewResponseController(s.w)
	events := &splitter{reader: bufio.NewReader(a.answer)}
	w := a.watcher(ctx)
	defer w.stop()
	for {
		w.reset(s.job.Route.Gap)
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			a.answer.Close(s.relayer.Codec.Answer(s.job.Request, a.answer.Status, a.answer.Header).Idle)
			return nil
		}
		if err != nil {
			a.answer.Discard()
			a.fault = a.ticket.Chain[0].Life
			return errors.Wrap(exchanger.ErrLost, err.Error())
		}
		if err := s.take(out, e); err != nil {
			a.answer.Discard()
			return err
		}
	}
}

// take passes one event on, unless the caller holds it.
func (s *stream) take(out *http.ResponseController, e event) error {
	if e.id != 0 {
		if e.id <= s.last {
			return nil
		}
		if e.id != s.last+1 {
			return errors.Errorf("event %d follows event %d", e.id, s.last)
		}
	}
	if _, err := s.w.Write(e.bytes); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	if err := out.Flush(); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	if e.id != 0 {
		s.last = e.id
	}
	s.passed++
	s.timing.note(time.Now())
	return nil
}

// copy passes an answer on that is no stream of events.
func (a *attempt) copy() error {
	if _, err := io.Copy(a.stream.w, a.answer); err != nil {
		a.answer.Discard()
		return errors.Wrap(exchanger.ErrLost, err.Error())
	}
	a.answer.Close(0)
	return nil
}

// outcome tells the owner how the chain was used.
func (a *attempt) outcome() acquirer.Outcome {
	events := a.stream.passed - a.first
	o := acquirer.Outcome{
		Tokens: identifier.Tokens(events * int64(a.stream.engine.Stride)),
		Failed: a.fault,
	}
	return o
}
