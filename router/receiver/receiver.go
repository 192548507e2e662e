// Package receiver is the HTTP interface for callers on a platform whose requests
// are forwarded unchanged. It finds the route and the customer, reads the complete
// request, and sends the error response if the request can't be served.
package receiver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/proxier"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/reporter"
)

// Codec parses the headers of callers' requests.
type Codec interface {
	// DecodeRequest returns the parsed request. Even with an error, it returns a
	// request with the fields that were parsed, ID and Received among them.
	DecodeRequest(r *http.Request) (*courier.Request, error)
}

// Receiver serves callers. Set the exported fields before use.
type Receiver struct {
	Publisher *publisher.Publisher
	Proxier   *proxier.Proxier
	Codec     Codec
	// Bodies limits the memory of request bodies; nil sets no limit.
	Bodies *limiter.Bodies
	// OnRefusal, if set, is called for each request that gets an error response
	// from the router itself.
	OnRefusal func(classifier.Kind)
	// OnEnd, if set, is called for each request that ends without a complete response
	// of an endpoint.
	OnEnd func(reporter.End)
	Log   logrus.FieldLogger

	active    activeRequests
	durations durations
	// end is when a planned stop ends the requests that are still being served; nil if none has
	// begun.
	end    atomic.Pointer[time.Time]
	closed atomic.Bool
}

// Active returns the number of requests being served.
func (x *Receiver) Active() int {
	return x.active.len()
}

// EndActive logs and ends each request that is being served, at the end of a planned stop that
// began at stopBegan. Its caller gets an error response, unless a part of a response was sent.
func (x *Receiver) EndActive(stopBegan time.Time) {
	x.active.each(func(r *activeRequest) {
		r.cancel(classifier.ErrStopping)
		log := x.Log.WithFields(logrus.Fields{
			"request":       r.request.ID,
			"held-ms":       time.Since(r.request.Received).Milliseconds(),
			"after-stop-ms": r.request.Received.Sub(stopBegan).Milliseconds(),
		})
		if r.job != nil {
			log = log.WithFields(logrus.Fields{
				"route":      r.job.Route.Name,
				"repetition": r.job.Route.Repetition,
				"left-ms":    time.Until(r.job.Deadline).Milliseconds(),
			})
		}
		log.Warn("request not ended by the end of the time to finish")
	})
}

// Stop makes x refuse, from now on, the requests that would usually last beyond end, when a planned
// stop ends them.
func (x *Receiver) Stop(end time.Time) {
	x.end.Store(&end)
}

// Close makes x refuse all further requests, because there may not be enough time
// left to finish them. Requests that are being served continue.
func (x *Receiver) Close() {
	x.closed.Store(true)
}

// Ready responds to the load balancer's readiness check: 200 while the instance can
// serve new callers, otherwise 503.
func (x *Receiver) Ready(w http.ResponseWriter, _ *http.Request) {
	if x.Publisher.Stopping() || x.Publisher.View().Site == nil || !x.Publisher.Confirmed(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP serves one request.
func (x *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := &heldWriter{
		ResponseWriter: w,
		publisher:      x.Publisher,
	}
	defer x.answerPanic(out, r)
	x.serveRequest(out, r)
	out.sendHeader()
}

// answerPanic sends an error response after a panic of a handler, unless a part of a response was
// sent. A panic with http.ErrAbortHandler continues.
func (x *Receiver) answerPanic(w *heldWriter, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler { //nolint:errorlint // It is the value itself that net/http knows.
		panic(cause)
	}
	x.Log.WithFields(logrus.Fields{
		"path":  r.URL.Path,
		"cause": cause,
		"stack": string(debug.Stack()),
	}).Error("handler panicked")
	if w.sent {
		panic(http.ErrAbortHandler)
	}
	w.reset()
	w.Header().Set("Connection", "close")
	classifier.Write(w, classifier.New(classifier.Internal, "internal error"))
}

func (x *Receiver) serveRequest(w *heldWriter, r *http.Request) {
	v := x.Publisher.View()
	request, err := x.Codec.DecodeRequest(r)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	active := &activeRequest{
		request: request,
		cancel:  cancel,
	}
	x.active.add(active)
	defer x.active.remove(active)
	setBodyDeadline(w, r, request.Received.Add(callerTimeout(request)))
	if err != nil {
		x.refuse(w, v, active, classifier.New(classifier.BadRequest, err.Error()))
		return
	}
	if x.closed.Load() {
		x.refuse(w, v, active, classifier.NewStopping(nil))
		return
	}
	err = x.serve(ctx, w, r, v, active)
	if err == nil {
		return
	}
	if errors.Is(r.Context().Err(), context.Canceled) && !readEnded(ctx, err) {
		x.ended(v, active, err, reporter.Cancelled).Info("caller went away")
		panic(http.ErrAbortHandler)
	}
	if w.sent {
		// A part of the response was sent: only aborting the connection shows the
		// caller that the response is incomplete.
		x.ended(v, active, err, reporter.Failed).Warn("answer broken off")
		panic(http.ErrAbortHandler)
	}
	w.reset()
	if active.bodyFailed {
		// What follows on the connection is the rest of the body, not a request.
		w.Header().Set("Connection", "close")
	}
	x.refuse(w, v, active, err)
}

// readEnded reports whether the router itself ended the reading of the request, which cancels
// the context although the caller is still connected: a body missed its deadline or was dropped, or
// a planned stop has ended the request.
func readEnded(ctx context.Context, err error) bool {
	return classifier.Classify(err).Kind == classifier.TooSlow || errors.Is(err, limiter.ErrBodyDropped) ||
		errors.Is(context.Cause(ctx), classifier.ErrStopping)
}

// ended returns a log entry for a request that ended with err and the given outcome, and reports
// its end to OnEnd; v is the view that the decision was based on.
func (x *Receiver) ended(v *publisher.View, active *activeRequest, err error, outcome reporter.Outcome) *logrus.Entry {
	e := classifier.Classify(err)
	job := active.jobOrUnrouted()
	if x.OnEnd != nil {
		x.OnEnd(job.End(outcome))
	}
	return x.Log.WithError(err).WithFields(job.LogFields()).WithFields(logrus.Fields{
		"request":  active.request.ID,
		"outcome":  outcome,
		"kind":     e.Kind,
		"status":   classifier.ResponseOf(e.Kind).Status,
		"revision": v.Revision,
		"held-ms":  time.Since(active.request.Received).Milliseconds(),
	})
}

func (x *Receiver) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, v *publisher.View, active *activeRequest) error {
	request := active.request
	if v.Site == nil || !x.Publisher.Confirmed(time.Now()) {
		return &classifier.Error{
			Kind:       classifier.StaleConfiguration,
			Detail:     "the instance has no configuration that is confirmed to be current",
			RetryAfter: staleRetryAfter,
		}
	}
	if err := checkHeaderSize(r, v.Site.Limits.HeaderBytes); err != nil {
		return err
	}
	job, err := x.newJob(v, r, request)
	if job.Route != nil {
		x.active.setJob(active, &job)
	}
	if err != nil {
		return err
	}
	if err := x.checkTimeLeft(&job); err != nil {
		return err
	}
	setBodyDeadline(w, r, job.Deadline)
	if request.Body, err = x.readBodyUntil(ctx, w, r, v.Site.Limits.BodyBytes); err != nil {
		active.bodyFailed = true
		return err
	}
	release, err := x.Bodies.Hold(int64(len(request.Body)), v.Site.Limits.BodyBytes)
	if err != nil {
		return err
	}
	defer release()
	if _, err := x.Proxier.Serve(ctx, w, job); err != nil {
		return err
	}
	if request.LastEvent == 0 {
		x.durations.record(&job, time.Since(request.Received), x.declared)
	}
	return nil
}

// declared reports whether the configuration in force has the service.
func (x *Receiver) declared(s identifier.Service) bool {
	site := x.Publisher.View().Site
	if site == nil {
		return true
	}
	_, ok := site.Services[s]
	return ok
}

// checkTimeLeft returns an error if a planned stop has begun that usually leaves too little time for
// the job. A job whose own deadline comes first loses nothing by the stop.
func (x *Receiver) checkTimeLeft(job *proxier.Job) error {
	end := x.end.Load()
	if end == nil || !job.Deadline.After(*end) {
		return nil
	}
	usual, ok := x.durations.usual(job)
	if left := time.Until(*end); ok && usual > left {
		return classifier.NewStopping(errors.Errorf("usual duration %v, time left %v", usual, left))
	}
	return nil
}

// newJob returns the job for a request, with what v declares for it. With an error, the job
// holds what was known by then; its route is nil if none matches.
func (x *Receiver) newJob(v *publisher.View, r *http.Request, request *courier.Request) (proxier.Job, error) {
	route, ok := v.Site.Route(r.Host, r.URL.EscapedPath())
	if !ok {
		return proxier.Job{}, classifier.New(classifier.NotFound, "no route matches the host and path")
	}
	job := proxier.Job{
		Request:  request,
		Revision: v.Revision,
		Route:    route,
		Service:  route.Pick(rand.Float64()),
		Order:    route.Order,
		Deadline: requestDeadline(request, route),
	}
	if !route.Public && v.Site.HasCustomers() {
		customer, ok := v.Site.Customer(request.Key)
		if !ok {
			return job, classifier.New(classifier.Unauthenticated, "unknown API key")
		}
		job.Customer = customer.Name
		if customer.HasOrder {
			job.Order = customer.Order
		}
	}
	job.Rank = v.Rank(proxier.RankOf(job.Order))
	service, ok := v.Site.Services[job.Service]
	if !ok {
		return job, classifier.New(classifier.NoChain, "the service is not declared")
	}
	job.Engine = service.Engine
	return job, nil
}

// requestDeadline returns the request's deadline: the time of receipt plus the
// caller's timeout or, if the caller sets none or a longer one, the route's.
func requestDeadline(r *courier.Request, route *cataloguer.Route) time.Time {
	timeout := callerTimeout(r)
	if route.Timeout > 0 && (r.Timeout <= 0 || route.Timeout < timeout) {
		timeout = route.Timeout
	}
	return r.Received.Add(timeout)
}

// callerTimeout returns how long the caller waits for the response.
func callerTimeout(r *courier.Request) time.Duration {
	if r.Timeout <= 0 {
		return defaultTimeout
	}
	return r.Timeout
}

const (
	// defaultTimeout applies if the caller sets no timeout; the route's takes precedence.
	defaultTimeout = 30 * time.Second
	// staleRetryAfter is the suggested retry delay while the instance waits for
	// its configuration.
	staleRetryAfter = 300 * time.Millisecond
	// defaultRetryAfter is the suggested retry delay if the error sets none.
	defaultRetryAfter = 500 * time.Millisecond
)

// refuse sends the error response for a request; no part of a response may have
// been sent yet.
func (x *Receiver) refuse(w http.ResponseWriter, v *publisher.View, active *activeRequest, err error) {
	e := classifier.Classify(err)
	x.ended(v, active, err, reporter.OutcomeOf(e.Kind)).Warn("request not served")
	if x.OnRefusal != nil {
		x.OnRefusal(e.Kind)
	}
	status := classifier.ResponseOf(e.Kind).Status
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", formatSeconds(e.RetryAfter))
	}
	e.RetryAfter = 0
	classifier.Write(w, e)
}

// formatSeconds formats d, or defaultRetryAfter if d is not positive, for
// Retry-After, rounded to a hundredth of a second.
func formatSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}
