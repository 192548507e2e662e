package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	"heatherhold.dev/router/reporter"
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
	tries   atomic.Int64
	// last is the last event that the caller holds.
	last atomic.Int64
	// passed counts the events that were passed on.
	passed int64
	timing timing
	// chain is the last that was used.
	chain []identifier.Stage

	mu    sync.Mutex
	avoid []identifier.Life
}

// avoided returns the endpoints that have failed the request.
func (s *stream) avoided() []identifier.Life {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.avoid)
}

// shun notes that an endpoint has failed the request.
func (s *stream) shun(l identifier.Life) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid = append(s.avoid, l)
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

// triesLimit bounds the chains of one request, those that did not run it included.
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
			s.broken(err, again)
		}
		if !again && !s.waits(ctx, err) {
			return end(ctx, s.ran, err)
		}
	}
}

// late reports whether the caller waited too long for the first event or for a
// later one.
func (s *stream) late() bool {
	return s.timing.first > s.job.Route.Target || s.timing.longest > s.job.Route.Gap
}

// broken logs the end of an attempt that did not bring the whole answer.
func (s *stream) broken(err error, again bool) {
	s.relayer.log(s.job).WithError(err).WithFields(logrus.Fields{
		"chain":     describe(s.chain),
		"last":      s.last.Load(),
		"runs":      s.runs,
		"left-ms":   time.Until(s.job.Deadline).Milliseconds(),
		"again":     again,
		"retries":   s.relayer.budget(time.Now(), s.job.Service).Left(),
		"queued-ms": s.timing.queued.Milliseconds(),
	}).Warn("attempt failed")
}

// resumePause is how long a stream that no chain takes on waits before it is
// tried again.
const resumePause = 250 * time.Millisecond

// waits reports whether a stream that can't be tried again at once is kept for
// later: its caller holds a part of it, and it may still be run. It returns
// after a pause, once the retry budget allows another try.
func (s *stream) waits(ctx context.Context, err error) bool {
	if !s.started || errors.Is(err, errCaller) || !s.job.Route.Repetition.Repeatable() || s.runs >= s.job.Route.Attempts {
		return false
	}
	t := time.NewTicker(resumePause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		if s.relayer.repeats(s.job.Service) {
			return true
		}
	}
}

// report logs a stream that was whole.
func (s *stream) report() {
	route := s.job.Route
	log := s.relayer.log(s.job).WithFields(logrus.Fields{
		"queued-ms":  s.timing.queued.Milliseconds(),
		"first-ms":   s.timing.first.Milliseconds(),
		"longest-ms": s.timing.longest.Milliseconds(),
		"tries":      s.tries.Load(),
		"events":     s.passed,
		"chain":      describe(s.chain),
	})
	s.relayer.Reporter.Timed(s.job.Service, reporter.Stream{
		Queued:  s.timing.queued,
		First:   s.timing.first,
		Longest: s.timing.longest,
	})
	if !s.late() {
		log.Info("request served")
		return
	}
	log.WithField("target-ms", route.Target.Milliseconds()).WithField("longest-pause-ms", route.Gap.Milliseconds()).Warn("request served late")
}

// describe writes a chain for the log.
func describe(chain []identifier.Stage) string {
	parts := make([]string, 0, len(chain))
	for _, s := range chain {
		parts = append(parts, fmt.Sprintf("%s:%d-%d", s.Endpoint, s.From, s.To))
	}
	return strings.Join(parts, " ")
}

// mayRepeat reports whether the request may go to another chain.
func (s *stream) mayRepeat(ctx context.Context, err error) bool {
	var kind *classifier.Error
	if ctx.Err() != nil || errors.As(err, &kind) || errors.Is(err, errCaller) || s.tries.Load() >= triesLimit {
		return false
	}
	notRun := errors.Is(err, exchanger.ErrNotSent) || errors.Is(err, errNotRun)
	if s.ran && !s.job.Route.Repetition.Repeatable() {
		return false
	}
	if !notRun && s.runs >= s.job.Route.Attempts {
		return false
	}
	return s.relayer.repeats(s.job.Service)
}

// errCaller says that the caller could not be written to.
var errCaller = errors.New("the caller does not read")

// attempt gets a chain and reads its answer to the end.
func (s *stream) attempt(ctx context.Context) error {
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
	used := a.finish()
	used.Release(a.outcome())
	s.chain = used.Chain
	if a.fault.Endpoint != "" {
		s.shun(a.fault)
	}
	return err
}

// ask returns a question for a chain. It may be called while the stream runs.
func (s *stream) ask() *messenger.Ask {
	r := s.job.Request
	held := s.last.Load() * int64(s.engine.Stride)
	a := &messenger.Ask{
		Request:      fmt.Sprintf("%s.%d", r.ID, s.tries.Add(1)),
		Customer:     string(s.job.Customer),
		Rank:         string(RankOf(s.job.Order)),
		Weight:       1,
		PromptTokens: int64(r.Prompt) + held,
		OutputTokens: max(int64(r.Output)-held, 1),
		Prefix:       xxhash.Sum64String(r.Prefix),
		DataCentre:   string(s.relayer.DataCentre),
		Resumed:      s.last.Load() > r.After,
	}
	for _, l := range s.avoided() {
		a.Avoid = append(a.Avoid, markOf(l))
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
	first  int64
	begun  time.Time
	fault  identifier.Life
	answer *exchanger.Answer
	cancel context.CancelCauseFunc
	// latest is when the last event came; nil before the first.
	latest atomic.Pointer[time.Time]

	// moving is set while the stream is moved to another chain.
	moving atomic.Bool
	mu     sync.Mutex
	ticket *acquirer.Ticket
	ended  bool
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
		err = a.pass()
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
	chain := a.chain()
	send := courier.Send{
		Endpoint: chain[0].Endpoint,
		Customer: s.job.Customer,
		Left:     time.Until(s.job.Deadline),
		Order:    s.job.Order,
		After:    s.last.Load(),
	}
	if s.engine.Layers > 0 {
		send.Chain = chain
	}
	answer, err := s.relayer.Exchanger.Open(ctx, s.relayer.call(s.job, chain[0].Address, send))
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
		at := stageAt(a.chain(), said.AtFault)
		return a.blame(errors.Wrapf(errNotRun, "status %d, at fault %s", status, at.Endpoint), at.Life)
	}
	s.ran = true
	s.runs++
	if a.answer.Status >= http.StatusInternalServerError && (s.started || (s.job.Route.Repetition.Repeatable() && s.runs < s.job.Route.Attempts)) {
		status := a.answer.Status
		a.answer.Discard()
		return a.blame(errors.Wrapf(errFailed, "status %d", status), stageAt(a.chain(), said.AtFault).Life)
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
func (a *attempt) pass() error {
	s := a.stream
	if a.answer.Status != http.StatusOK {
		return a.copy()
	}
	out := http.NewResponseController(s.w)
	events := &splitter{reader: bufio.NewReader(a.answer)}
	for {
		e, err := events.next()
		now := time.Now()
		a.latest.Store(&now)
		if errors.Is(err, io.EOF) {
			a.answer.Close(s.relayer.Codec.Answer(s.job.Request, a.answer.Status, a.answer.Header).Idle)
			return nil
		}
		if err != nil {
			a.answer.Discard()
			a.fault = a.chain()[0].Life
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
		if e.id <= s.last.Load() {
			return nil
		}
		if e.id != s.last.Load()+1 {
			return errors.Errorf("event %d follows event %d", e.id, s.last.Load())
		}
	}
	if _, err := s.w.Write(e.bytes); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	if err := out.Flush(); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	if e.id != 0 {
		s.last.Store(e.id)
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
