package proxier

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/mover"
	"heatherhold.dev/router/quarantiner"
)

// attempt is one attempt to run a request on a chain, which may be replaced by another while
// the run continues. A stream has one attempt, and while that makes no progress a second one that
// may replace it.
type attempt struct {
	stream *stream
	// ctx ends with the attempt, and cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	pass   *quarantiner.Pass
	// resumedFrom is the last event that the caller had received when the attempt started,
	// and runsBefore the number of runs of the request.
	resumedFrom int64
	runsBefore  int
	startedAt   time.Time
	// sentAt is when the request was sent to the first stage, and firstEvent how long its
	// first event took from then; 0 if there was none.
	sentAt     time.Time
	firstEvent time.Duration
	// failed is the endpoint incarnation that caused the attempt to fail; zero if
	// none did.
	failed identifier.EndpointIncarnation
	// ran is set once an endpoint may have run the request.
	ran      bool
	response *exchanger.Response
	metadata courier.ResponseMetadata
	// answering is set once the endpoint has sent the header of a stream, and progressed
	// once an event of the attempt was forwarded.
	answering  atomic.Bool
	progressed atomic.Bool
	// proving is since when the attempt has made progress over its present chain.
	proving proving
	// lastEventAt is when the last event was received; nil before the first.
	lastEventAt atomic.Pointer[time.Time]
	// pace is the time between the events, and stallAfter the time in nanoseconds without an
	// event after which the stream counts as stalled.
	pace       mover.Pace
	stallAfter atomic.Int64
	// movedAt is when the first stage last continued over another chain; nil if never.
	movedAt atomic.Pointer[time.Time]
	// expected gets the time of the next event; nil if nobody waits for it.
	expected atomic.Pointer[chan time.Time]

	// searching is set while another chain is looked for, because the attempt makes no
	// progress.
	searching atomic.Bool
	mu        sync.Mutex
	ticket    *acquirer.Ticket
	// givenUp are the endpoints to be avoided, of the chain that makes no progress.
	givenUp []identifier.EndpointIncarnation
	// stopSearch ends the search, and next is the attempt that was found.
	stopSearch context.CancelFunc
	next       *attempt
	// vainRuns counts the runs that were to replace the attempt and failed.
	vainRuns int
	finished bool
}

// newAttempt returns an attempt with the ticket's chain. The ticket is released and the pass
// ended by the caller.
func (s *stream) newAttempt(ctx context.Context, ticket *acquirer.Ticket, pass *quarantiner.Pass, runsBefore int) *attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	return &attempt{
		stream:      s,
		ctx:         ctx,
		cancel:      cancel,
		pass:        pass,
		resumedFrom: s.lastEvent.Load(),
		runsBefore:  runsBefore,
		startedAt:   time.Now(),
		ticket:      ticket,
	}
}

// stageError reports a failure of one stage of a chain.
type stageError struct {
	incarnation identifier.EndpointIncarnation
	detail      string
	// noticedAt is when streams through the stage were seen to be stalled, and question how
	// long endpoints were then asked for reports.
	noticedAt time.Time
	question  time.Duration
}

// Error returns the stage and the reason for its failure.
func (e *stageError) Error() string {
	return e.incarnation.String() + " " + e.detail
}

// run runs the attempt until it ends, or ctx does. It opens it unless that was done before.
func (a *attempt) run(ctx context.Context) error {
	x := a.stream.proxier
	defer a.cancel(nil)
	defer context.AfterFunc(ctx, func() { a.cancel(context.Cause(ctx)) })()
	x.addActive(a)
	defer x.removeActive(a)
	err := a.answer()
	var stage *stageError
	if cause := context.Cause(a.ctx); err != nil && !errors.Is(err, errCallerWrite) && errors.As(cause, &stage) {
		err = cause
	}
	if errors.As(err, &stage) {
		a.failed = stage.incarnation
	}
	return err
}

// answer passes the answer on to the caller.
func (a *attempt) answer() error {
	if a.response == nil {
		if err := a.open(); err != nil {
			return err
		}
	}
	if err := a.begin(); err != nil {
		return err
	}
	return a.forwardAnswer()
}

// replaceable reports whether the request may run again after this attempt.
func (a *attempt) replaceable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	route := a.stream.job.Route
	return route.Repetition.Repeatable() && a.runsBefore+1+a.vainRuns < route.Attempts
}

// open sends the request to the chain's first stage and reads the header of the
// response.
func (a *attempt) open() error {
	s := a.stream
	chain := a.chain()
	metadata := courier.RequestMetadata{
		Endpoint:  chain[0].Endpoint,
		Customer:  s.job.Customer,
		Remaining: time.Until(s.job.Deadline),
		Order:     s.job.Order,
		LastEvent: s.lastEvent.Load(),
	}
	if s.engine.Layers > 0 {
		metadata.Chain = chain
	}
	a.sentAt = time.Now()
	a.pass.RecordSent(a.sentAt)
	response, err := s.proxier.Exchanger.Open(a.ctx, s.proxier.newRequest(s.job, chain[0].Address, s.addSent(chain[0].Address), metadata))
	if err != nil {
		a.ran = !errors.Is(err, exchanger.ErrNotSent)
		s.proxier.Exchanger.CloseIdle(chain[0].Address)
		return a.recordFailure(err, chain[0].EndpointIncarnation)
	}
	a.response = response
	return a.checkResponse()
}

// reportLimit tells the pool's owner which limit the first stage names.
func (a *attempt) reportLimit(info courier.ResponseMetadata) {
	x := a.stream.proxier
	if info.LimitError != nil {
		x.log(a.stream.job).WithError(info.LimitError).Warn("limit of an endpoint not understood")
		return
	}
	a.mu.Lock()
	ticket := a.ticket
	a.mu.Unlock()
	first := ticket.Chain[0].EndpointIncarnation
	if ticket.ReportLimit(time.Now(), a.startedAt, first, info.Limit) {
		x.logLimit(first.Endpoint, info.Limit)
	}
}

// recordWishes records what the first stage says about further requests. A refusal may pass
// on the wish of the stage at fault, which then is left alone as well.
func (a *attempt) recordWishes(info courier.ResponseMetadata) {
	x := a.stream.proxier
	chain := a.chain()
	x.recordWishes(a.stream.job, chain[0].EndpointIncarnation, info)
	if refusing := stageAt(chain, info.RefusedBy); info.RetryAfter > 0 && info.Identified && refusing.EndpointIncarnation != chain[0].EndpointIncarnation {
		x.Balancer.Pause(refusing.EndpointIncarnation, time.Now().Add(info.RetryAfter))
	}
}

// recordFailure records the stage that failed and returns err.
func (a *attempt) recordFailure(err error, failed identifier.EndpointIncarnation) error {
	a.failed = failed
	return err
}

// checkResponse checks that the response is one of an endpoint that ran the request.
func (a *attempt) checkResponse() error {
	s := a.stream
	status := a.response.Status
	a.metadata = s.proxier.Codec.ParseResponse(s.job.Request, status, a.response.Header)
	a.reportLimit(a.metadata)
	a.recordWishes(a.metadata)
	if a.metadata.NotRun && !unidentified(a.response, a.metadata) {
		failed := stageAt(a.chain(), a.metadata.RefusedBy)
		return a.reject(errors.Wrapf(errNotRun, "status %d, caused by %s", status, failed.Endpoint), failed)
	}
	a.ran = true
	if unidentified(a.response, a.metadata) {
		return a.reject(errors.Wrapf(errUnidentified, "status %d", status), a.chain()[0])
	}
	if unsigned(status, a.metadata) {
		return a.reject(errors.Wrapf(errUnsigned, "status %d", status), a.chain()[0])
	}
	a.answering.Store(status == http.StatusOK)
	return nil
}

// reject discards the response and returns err; failed is the stage that is to blame.
func (a *attempt) reject(err error, failed identifier.Stage) error {
	a.response.Discard()
	return a.recordFailure(err, failed.EndpointIncarnation)
}

// begin checks that the response can be passed on and, for a stream, forwards its header to
// the caller.
func (a *attempt) begin() error {
	s := a.stream
	status := a.response.Status
	if status >= http.StatusInternalServerError && (s.started || a.replaceable()) {
		return a.reject(errors.Wrapf(errFailed, "status %d", status), stageAt(a.chain(), a.metadata.RefusedBy))
	}
	if status != http.StatusOK && s.started {
		a.response.Discard()
		return errors.Wrapf(errFailed, "status %d for a resumed stream", status)
	}
	if s.started && !s.continues(a.response) {
		return a.reject(errors.Wrapf(errFailed, "content type %.40q for a resumed stream", a.response.Header.Get("Content-Type")), a.chain()[0])
	}
	if !s.started && a.answering.Load() && s.job.Route.Streams {
		s.writeHeader(s.proxier.Codec, a.response)
	}
	return nil
}

// forwardAnswer forwards the answer: events as they arrive, anything else once it is complete.
func (a *attempt) forwardAnswer() error {
	s := a.stream
	if a.response.Status != http.StatusOK || !s.job.Route.Streams {
		return a.copy()
	}
	err := s.forwardEvents(a.response, a.metadata.IdleTimeout, a)
	if errors.Is(err, exchanger.ErrLost) {
		a.failed = a.chain()[0].EndpointIncarnation
	}
	return err
}

// eventRead records that an event was received at now, or that the stream ended.
func (a *attempt) eventRead(now time.Time, err error) {
	a.recordEventTime(now)
	if err == nil {
		a.reportEvent(now)
		a.stopSearching()
	}
}

// eventNumbered records that the run has made progress.
func (a *attempt) eventNumbered(now time.Time) {
	a.recordFirstEvent()
	a.recordProgress(now)
}

// eventForwarded records that the caller has got an event of the run.
func (a *attempt) eventForwarded() {
	a.progressed.Store(true)
}

// copy forwards a response that is not an event stream, once it has been read
// completely.
func (a *attempt) copy() error {
	b := &body{proxier: a.stream.proxier}
	defer b.release()
	if err := b.readAll(a.response); err != nil {
		a.response.Discard()
		return a.recordFailure(errors.Wrap(exchanger.ErrLost, err.Error()), a.chain()[0].EndpointIncarnation)
	}
	a.response.Close(0)
	a.stream.framing = a.response.Framing
	a.stream.writeHeader(a.stream.proxier.Codec, a.response)
	if a.response.Status == http.StatusOK {
		a.stream.timing.recordEvent(time.Now())
	}
	_, err := b.WriteTo(a.stream.w)
	if err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

// outcome returns how the chain was used, for the pool's owner; failed is the endpoint that
// failed, if any.
func (a *attempt) outcome(failed identifier.EndpointIncarnation) acquirer.Outcome {
	s := a.stream
	return acquirer.Outcome{
		Tokens:     identifier.Tokens((s.lastEvent.Load() - a.resumedFrom) * int64(s.engine.Stride)),
		Failed:     failed,
		FirstEvent: a.firstEvent,
	}
}

// recordFirstEvent records when the first event of the attempt was received; one without an id may
// only keep the connection open and doesn't count.
func (a *attempt) recordFirstEvent() {
	if a.firstEvent == 0 {
		a.firstEvent = max(time.Since(a.sentAt), 1)
	}
}
