package proxier

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/quarantiner"
)

var (
	// errNoRetryLeft reports that the retry budgets of the service are used up.
	errNoRetryLeft = acquirer.ErrNoRetryLeft
	// errSameEndpoint reports a chain through the endpoint that is to be avoided.
	errSameEndpoint = errors.New("the only chain is through the same endpoint")
)

// leave moves an attempt without progress to another chain in its turn, or looks for one until
// there is one.
func (a *attempt) leave(ctx context.Context, cause *stageError, own *turn) {
	move, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(a.ctx, stop)()
	proven := a.proven()
	address := addressOf(a.chain(), cause.incarnation)
	err := a.moveInTurn(ctx, move, cause, own)
	switch {
	case errors.Is(err, errResumed):
		a.forgive()
	case err != nil:
		a.handOver(ctx, cause)
	case !proven && cause.detail == reasonUnresponsive:
		a.stream.recordEnd(ctx, cause.incarnation, address)
	}
}

// handOver looks for another chain for an attempt without progress, for its run or for
// another one. An endpoint that is silent may be sound, so that the attempt goes on
// meanwhile: the search ends with its next event, or once another run has begun to answer.
func (a *attempt) handOver(ctx context.Context, cause *stageError) {
	search, stop := context.WithDeadline(ctx, a.stream.job.Deadline)
	defer stop()
	if !a.startSearch(stop, cause) {
		return
	}
	if a.stream.recordSilence(ctx, a, cause).crashed() && !a.stream.trusted() {
		// The request may have crashed the endpoint.
		sleep(search, verdictDelay)
	}
	for waits := false; search.Err() == nil; waits = true {
		err := a.tryHandOver(ctx, search, cause)
		if err == nil {
			return
		}
		if !waits {
			a.stream.proxier.log(a.stream.job).WithError(err).WithField("endpoint", cause.incarnation.Endpoint).WithField("reason", cause.detail).Info("stream waits at its chain")
		}
		sleep(search, resumeInterval)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// startSearch tells the pool's owner of the failure, and lets stop be called when the attempt
// makes progress. It returns false if the attempt has finished.
func (a *attempt) startSearch(stop context.CancelFunc, cause *stageError) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return false
	}
	a.stopSearch = stop
	a.ticket.ReportStall(cause.incarnation)
	return true
}

// stopSearching ends the search for another chain, because the attempt makes progress.
func (a *attempt) stopSearching() {
	if !a.searching.Load() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopSearch != nil && a.next == nil {
		a.stopSearch()
		a.stopSearch = nil
		a.givenUp = nil
		a.ticket.ReportProgress()
	}
}

// tryHandOver replaces the run by another one or, if the request may not run again, moves it to
// another chain. ctx is that of the new run, which outlives the search.
func (a *attempt) tryHandOver(ctx, search context.Context, cause *stageError) error {
	if !a.replaceable() {
		return a.moveAround(ctx, search, cause)
	}
	b, err := a.acquireSuccessor(ctx, search)
	if errors.Is(err, errNoRetryLeft) && a.moveAround(ctx, search, cause) == nil {
		// A move by order is no retry.
		return nil
	}
	if err != nil {
		return err
	}
	if err = b.openUntil(search); err == nil {
		err = a.replaceBy(search, b, cause)
	}
	if err != nil {
		a.dropSuccessor(ctx, b, err)
	}
	return err
}

// acquireSuccessor returns an attempt on a chain without the endpoints that were given up. It
// fails at once if no retry is left.
func (a *attempt) acquireSuccessor(ctx, search context.Context) (*attempt, error) {
	s := a.stream
	avoid := a.avoided()
	shared := s.proxier.budget(time.Now(), s.job.Service).Remaining() < 1
	if shared && s.proxier.Retries.OwnerShare <= 0 {
		return nil, errNoRetryLeft
	}
	pass, err := s.admit(search)
	if err != nil {
		return nil, err
	}
	ticket, err := s.acquireUnpaused(search, shared, avoid...)
	if err != nil {
		pass.End()
		return nil, err
	}
	if err := s.checkSuccessor(ticket, pass, shared, avoid); err != nil {
		ticket.Release(acquirer.Outcome{RetryUnused: true})
		pass.End()
		return nil, err
	}
	return s.newAttempt(ctx, ticket, pass, a.runsBefore+1+a.vainRuns), nil
}

// checkSuccessor takes a retry for a run with the ticket if that may be sent. If shared is
// set, the owner's budget has paid for it.
func (s *stream) checkSuccessor(ticket *acquirer.Ticket, pass *quarantiner.Pass, shared bool, avoid []identifier.EndpointIncarnation) error {
	if containsAny(ticket.Chain, avoid) {
		return errSameEndpoint
	}
	if refusal := pass.Check(time.Now()); refusal != nil {
		return quarantined(refusal)
	}
	if !shared && !s.proxier.spendRetry(s.job.Service) {
		return errNoRetryLeft
	}
	return nil
}

// openUntil opens the attempt, which must begin to answer before the search ends.
func (a *attempt) openUntil(search context.Context) error {
	keep := context.AfterFunc(search, func() { a.cancel(context.Cause(search)) })
	defer keep()
	if err := a.open(); err != nil {
		return err
	}
	if !a.answering.Load() {
		return a.reject(errors.Wrapf(errFailed, "status %d", a.response.Status), stageAt(a.chain(), a.metadata.RefusedBy))
	}
	return nil
}

// replaceBy ends the attempt in favour of b, which has begun to answer, unless the search has
// ended.
func (a *attempt) replaceBy(search context.Context, b *attempt, cause *stageError) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished || search.Err() != nil {
		return search.Err()
	}
	a.next = b
	a.cancel(cause)
	return nil
}

// replaced reports whether another attempt has replaced this one, which ends then.
func (a *attempt) replaced() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.next != nil
}

// dropSuccessor ends b, which does not replace the attempt because of err.
func (a *attempt) dropSuccessor(ctx context.Context, b *attempt, err error) {
	a.stream.recordEvidence(ctx, b, err)
	b.drop()
	if b.failed.Endpoint != "" {
		a.stream.addAvoided(b.failed)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.ran {
		a.vainRuns++
	}
}

// drop ends an attempt that is not run.
func (a *attempt) drop() {
	a.cancel(nil)
	if a.response != nil {
		a.response.Discard()
	}
	a.ticket.Release(a.outcome(a.failed))
	a.pass.End()
}

// replaced reports whether an attempt that ended with err is followed by one that has begun
// already.
func (s *stream) replaced(ctx context.Context, err error) bool {
	return s.next != nil && ctx.Err() == nil && !errors.Is(err, errCallerWrite)
}

// dropNext ends the attempt that has begun already, if there is one.
func (s *stream) dropNext() {
	if s.next != nil {
		s.next.drop()
	}
}
