package proxier

import (
	"context"
	"fmt"
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
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/quarantiner"
)

// stream is one request to a model service.
type stream struct {
	relay
	proxier *Proxier
	job     Job
	engine  *cataloguer.Engine
	// keys are what crashes and answers are recorded under.
	keys []quarantiner.Key
	ran  bool
	runs int
	// chainsRequested counts the requests for chains, including those for rerouting.
	chainsRequested atomic.Int64
	// chain is the last chain that was used.
	chain []identifier.Stage
	// finding is what the end of the last run showed, and crashes counts the runs under which
	// an endpoint crashed that the request may be the cause of.
	finding finding
	crashes atomic.Int32
	// suspect is set if the request was suspected when an endpoint crashed under it.
	suspect atomic.Bool
	// next is the next attempt, if it has begun already.
	next *attempt
	// sharedRetry is set if the next chain is for a retry out of the owner's budget.
	sharedRetry bool

	mu    sync.Mutex
	sent  sentTo
	avoid []identifier.EndpointIncarnation
}

// avoided returns the endpoints that failed for this request.
func (s *stream) avoided() []identifier.EndpointIncarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.avoid)
}

// addAvoided records that an endpoint failed for this request.
func (s *stream) addAvoided(incarnation identifier.EndpointIncarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid = append(s.avoid, incarnation)
}

// addSent records that the request is sent to an address, and reports whether it was before.
func (s *stream) addSent(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent.add(address)
}

// maxChains is the number of requested chains, including those that did not run
// the request, after which a failed request is not retried at once.
const maxChains = 8

func (s *stream) run(ctx context.Context) error {
	defer s.dropNext()
	for {
		err := s.tryChain(ctx)
		if err == nil {
			s.logServed()
			return nil
		}
		retry := s.replaced(ctx, err) || s.mayRetry(ctx, err)
		if !errors.Is(ctx.Err(), context.Canceled) {
			s.logFailure(err, retry)
		}
		if !retry && !s.waitForRetry(ctx, err) {
			return finalError(ctx, s.ran, err)
		}
		if s.next == nil {
			s.awaitVerdict(ctx)
		}
	}
}

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 32

// logFailure logs an attempt that did not deliver the complete response.
func (s *stream) logFailure(err error, retry bool) {
	s.proxier.log(s.job).WithError(err).WithFields(s.finding.logFields()).WithFields(logrus.Fields{
		"chain":       formatChain(s.chain),
		"last":        s.lastEvent.Load(),
		"runs":        s.runs,
		"left-ms":     time.Until(s.job.Deadline).Milliseconds(),
		"again":       retry,
		"retries":     s.proxier.budget(time.Now(), s.job.Service).Remaining(),
		"queued-ms":   s.timing.queued.Milliseconds(),
		"parts":       s.job.Request.Parts[:min(len(s.job.Request.Parts), maxLoggedParts)],
		"part-count":  len(s.job.Request.Parts),
		"fingerprint": s.keys[0].Name,
	}).Warn("attempt failed")
}

// resumeInterval is the interval at which waitForRetry checks the retry budget.
const resumeInterval = 250 * time.Millisecond

// waitForRetry waits, for at least one resumeInterval, until the retry budget
// allows another attempt, and reports whether it does before ctx ends. It returns
// false at once if the response has not started, if writing to the caller failed,
// or if the stream may not run again.
func (s *stream) waitForRetry(ctx context.Context, err error) bool {
	if !s.started || errors.Is(err, errCallerWrite) || isQuarantined(err) || !s.job.Route.Repetition.Repeatable() || s.runs >= s.job.Route.Attempts {
		return false
	}
	return awaitRetry(ctx, s.takeRetry)
}

// awaitRetry waits, for at least one resumeInterval, until take gets a retry, and reports whether it
// does before ctx ends.
func awaitRetry(ctx context.Context, take func() bool) bool {
	t := time.NewTicker(resumeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		if take() {
			return true
		}
	}
}

// formatChain formats a chain for the log.
func formatChain(chain []identifier.Stage) string {
	parts := make([]string, 0, len(chain))
	for _, s := range chain {
		parts = append(parts, fmt.Sprintf("%s:%d-%d", s.Endpoint, s.From, s.To))
	}
	return strings.Join(parts, " ")
}

// mayRetry reports whether the request may be sent to another chain.
func (s *stream) mayRetry(ctx context.Context, err error) bool {
	var kind *classifier.Error
	if ctx.Err() != nil || errors.As(err, &kind) || errors.Is(err, errCallerWrite) || s.chainsRequested.Load() >= maxChains {
		return false
	}
	notRun := errors.Is(err, exchanger.ErrNotSent) || errors.Is(err, errNotRun)
	if s.ran && !s.job.Route.Repetition.Repeatable() {
		return false
	}
	if !notRun && s.runs >= s.job.Route.Attempts {
		return false
	}
	return s.takeRetry()
}

// tryChain makes one attempt, and records what it shows.
func (s *stream) tryChain(ctx context.Context) error {
	a, err := s.nextAttempt(ctx)
	if err != nil {
		return err
	}
	defer a.pass.End()
	err = a.run(ctx)
	s.finish(a)
	s.finding = s.recordEvidence(ctx, a, err)
	if s.finding.crashed() {
		s.crashes.Add(1)
		if a.pass.Suspect() {
			s.suspect.Store(true)
		}
	}
	if a.failed.Endpoint != "" {
		s.addAvoided(a.failed)
	}
	return err
}

// nextAttempt returns the attempt that has begun already, or one on a chain that it acquires.
func (s *stream) nextAttempt(ctx context.Context) (*attempt, error) {
	if a := s.next; a != nil {
		s.next = nil
		return a, nil
	}
	pass, ticket, err := s.acquire(ctx)
	if err != nil {
		return nil, err
	}
	return s.newAttempt(ctx, ticket, pass, s.runs), nil
}

// finish releases the chain of an attempt that has ended and counts its runs.
func (s *stream) finish(a *attempt) {
	used, next, runs := a.finish()
	used.Release(a.outcome(a.failed))
	s.chain = used.Chain
	s.next = next
	s.ran = s.ran || runs > 0
	s.runs += runs
}

// maxPausedChains is how many chains that start at an endpoint that wants no requests are
// given back before a request is refused. The first one may have been granted to a question
// from before the endpoint said so.
const maxPausedChains = 2

// acquireTicket acquires a chain for the next attempt.
func (s *stream) acquireTicket(ctx context.Context) (*acquirer.Ticket, error) {
	requested := time.Now()
	defer func() { s.timing.queued += time.Since(requested) }()
	shared := s.sharedRetry
	s.sharedRetry = false
	return s.acquireUnpaused(ctx, shared)
}

// acquireUnpaused acquires a chain without the given endpoints that does not start at an
// endpoint that wants no requests. If shared is set, it is for a retry out of the owner's
// budget. It may be called while the stream runs.
func (s *stream) acquireUnpaused(ctx context.Context, shared bool, avoid ...identifier.EndpointIncarnation) (*acquirer.Ticket, error) {
	newAsk := func() *messenger.Ask {
		ask := s.newAsk()
		ask.Retry = shared
		return ask
	}
	for n := 1; ; n++ {
		ticket, err := s.acquireListed(ctx, avoid, nil, newAsk)
		if err != nil {
			return nil, err
		}
		// The retry is paid for, also if it needs another chain.
		shared = false
		until, paused := s.proxier.Balancer.Paused(time.Now())[ticket.Chain[0].EndpointIncarnation]
		if !paused {
			return ticket, nil
		}
		ticket.Release(acquirer.Outcome{})
		if n >= maxPausedChains {
			return nil, pausedError(until)
		}
	}
}

// newAsk returns a request for a chain. It may be called while the stream runs.
func (s *stream) newAsk() *messenger.Ask {
	r := s.job.Request
	received := s.lastEvent.Load() * int64(s.engine.Stride)
	n := s.chainsRequested.Add(1)
	ask := &messenger.Ask{
		Request:      fmt.Sprintf("%s.%d", r.ID, n),
		First:        n == 1,
		Customer:     string(s.job.Customer),
		Rank:         string(RankOf(s.job.Order)),
		Weight:       1,
		PromptTokens: int64(r.Prompt) + received,
		OutputTokens: max(int64(r.Output)-received, 1),
		OutputHint:   max(int64(r.OutputHint)-received, 0),
		Prefix:       xxhash.Sum64String(r.Prefix),
		PrefixTokens: int64(r.PrefixTokens),
		DataCentre:   string(s.proxier.DataCentre),
		Resumed:      s.lastEvent.Load() > r.LastEvent,
		Terms:        granter.TermsOf(s.job.Rank),
		Promise:      s.promise(time.Now()),
	}
	for _, incarnation := range s.avoided() {
		ask.Avoid = append(ask.Avoid, markOf(incarnation))
	}
	for incarnation := range s.proxier.Balancer.Paused(time.Now()) {
		ask.Avoid = append(ask.Avoid, markOf(incarnation))
	}
	return ask
}

// RankOf returns the name of the rank for an order.
func RankOf(order int) identifier.Rank {
	return identifier.Rank(fmt.Sprintf("order-%d", order))
}
