package proxier

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/acquirer"
)

// longestSilence is how long an endpoint that is sound may send nothing. A request that has
// got no part of its answer by then is ended, so that its caller hears of it.
const longestSilence = 2 * time.Second

// errNoRetryLeft reports that the retry budget of the service is used up.
var errNoRetryLeft = errors.New("no retry is left")

// handOver looks for another chain for the stream of an attempt without progress, and ends
// the attempt once there is one. An endpoint that is silent may be sound, so that the attempt
// goes on meanwhile: its next event ends the search. A stream that may not run again stays
// where it is.
func (a *attempt) handOver(ctx context.Context, cause *stageError) {
	s := a.stream
	ctx, stop := context.WithDeadline(ctx, s.job.Deadline)
	defer stop()
	a.suspend(cause, stop)
	if !a.replaceable {
		return
	}
	if !a.answering.Load() {
		expire := time.AfterFunc(longestSilence, func() { a.expire(cause) })
		defer expire.Stop()
	}
	for {
		ticket, err := s.acquireReplacement(ctx, cause.incarnation)
		if err == nil {
			err = a.replace(ticket, cause)
		}
		if err == nil || ctx.Err() != nil {
			return
		}
		s.proxier.log(s.job).WithError(err).WithField("endpoint", cause.incarnation.Endpoint).Info("no other chain for the stream yet")
		select {
		case <-ctx.Done():
			return
		case <-time.After(resumeInterval):
		}
	}
}

// suspend gives the attempt's chain back, because it makes no progress, unless the attempt
// has finished. stop ends the search for another chain.
func (a *attempt) suspend(cause *stageError, stop context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		stop()
		return
	}
	a.stopSearch = stop
	if !a.suspended.CompareAndSwap(false, true) {
		return
	}
	a.ticket.Suspend(a.outcome(cause.incarnation))
	a.stream.proxier.log(a.stream.job).WithFields(logrus.Fields{
		"endpoint":    cause.incarnation.Endpoint,
		"reason":      cause.detail,
		"replaceable": a.replaceable,
	}).Info("stream waits at its chain")
}

// goOn ends the search for another chain, because the attempt makes progress or is about to
// be moved.
func (a *attempt) goOn() {
	if !a.suspended.Load() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished || a.next != nil || !a.suspended.CompareAndSwap(true, false) {
		return
	}
	a.endSearch()
	a.ticket.Resume()
}

// endSearch ends the search for another chain. The caller holds a.mu.
func (a *attempt) endSearch() {
	if a.stopSearch != nil {
		a.stopSearch()
	}
}

// expire ends the attempt if it is still without progress.
func (a *attempt) expire(cause *stageError) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.suspended.Load() && !a.answering.Load() {
		a.cancel(cause)
	}
}

// replace ends the attempt in favour of a run with the ticket, unless the attempt has
// finished or goes on. It fails if no retry is left.
func (a *attempt) replace(ticket *acquirer.Ticket, cause *stageError) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished || !a.suspended.Load() {
		ticket.Release(acquirer.Outcome{})
		return nil
	}
	if !a.stream.proxier.spendRetry(a.stream.job.Service) {
		ticket.Release(acquirer.Outcome{})
		return errNoRetryLeft
	}
	a.next = ticket
	a.cancel(cause)
	return nil
}

// acquireReplacement acquires a chain without the endpoint incarnation for a run that
// replaces another one. It fails at once if no retry is left.
func (s *stream) acquireReplacement(ctx context.Context, avoid identifier.EndpointIncarnation) (*acquirer.Ticket, error) {
	if s.proxier.budget(time.Now(), s.job.Service).Remaining() < 1 {
		return nil, errNoRetryLeft
	}
	return s.acquireUnpaused(ctx, avoid)
}

// replaced reports whether the attempt that ended with err made way for a run on another
// chain, for which the stream has a ticket.
func (s *stream) replaced(ctx context.Context, err error) bool {
	var stage *stageError
	return s.next != nil && ctx.Err() == nil && errors.As(err, &stage)
}

// releaseNext releases the ticket for the next attempt, if there is one.
func (s *stream) releaseNext() {
	if s.next != nil {
		s.next.Release(acquirer.Outcome{})
	}
}
