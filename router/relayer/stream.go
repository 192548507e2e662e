package relayer

import (
	"context"
	"fmt"
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
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/granter"
)

// stream is one request to a model service.
type stream struct {
	relayer *Relayer
	job     Job
	engine  *cataloguer.Engine
	w       http.ResponseWriter
	started bool
	// status is what the caller was answered, once started.
	status int
	ran    bool
	runs   int
	tries  atomic.Int64
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
		Terms:        granter.TermsOf(s.job.Rank),
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

// begin sends the caller the head of the answer.
func (s *stream) begin(a *exchanger.Answer) {
	s.started = true
	s.status = a.Status
	h := s.w.Header()
	for name, values := range s.relayer.Codec.Returned(a.Header) {
		h[name] = values
	}
	s.w.WriteHeader(a.Status)
}

// write gives the caller whole events.
func (s *stream) write(out *http.ResponseController, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if _, err := s.w.Write(events); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	if err := out.Flush(); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	return nil
}
