package proxier

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/balancer"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/quarantiner"
	"heatherhold.dev/router/reporter"
)

// plainRequest is one request to a plain service.
type plainRequest struct {
	relay
	proxier *Proxier
	job     Job
	// keys are what crashes and answers are recorded under.
	keys []quarantiner.Key
	late bool
	// ran is set once an endpoint may have run the request, and runs counts these
	// endpoints.
	ran   bool
	runs  int
	avoid []identifier.EndpointIncarnation
	sent  sentTo
	// crashes counts the runs under which an endpoint crashed that the request may be the cause
	// of, and suspect is set if the request was suspected at one of them.
	crashes int
	suspect bool
}

// completeResponse is a response that has been read completely.
type completeResponse struct {
	status int
	header http.Header
	body   *body
	info   courier.ResponseMetadata
	// framing is how the endpoint showed where the body ends.
	framing exchanger.Framing
}

// release frees the response's buffer; r may be nil.
func (r *completeResponse) release() {
	if r != nil {
		r.body.release()
	}
}

// errNotRun reports that the endpoint refused the request and did not run it.
var errNotRun = errors.New("the endpoint did not run the request")

// errFailed reports that the endpoint ran the request and failed.
var errFailed = errors.New("the endpoint failed")

// errUnsigned reports a response without an endpoint's signature.
var errUnsigned = errors.New("the response is not signed by an endpoint")

// errUnidentified reports a response that names no request on a connection that has
// carried others.
var errUnidentified = errors.New("the response may be to an earlier request of the connection")

// unidentified reports whether a response may be to an earlier request.
func unidentified(response *exchanger.Response, info courier.ResponseMetadata) bool {
	return response.Reused && !info.Identified
}

// unsigned reports whether a response looks like an endpoint's result, a success
// or a client error, or promises that the request has not run, but does not have an
// endpoint's signature.
func unsigned(status int, info courier.ResponseMetadata) bool {
	return !info.Signed && (status < http.StatusInternalServerError || status == http.StatusServiceUnavailable)
}

func (p *plainRequest) run(ctx context.Context) error {
	r := newPlainRuns(ctx, p)
	defer r.stop()
	for {
		if r.running == 0 {
			if err := r.start(ctx); err != nil {
				return finalError(ctx, p.ran, err)
			}
		}
		done := r.await()
		if done.err == nil {
			r.cancel()
			return p.serve(done)
		}
		if r.running > 0 {
			p.logFailure(done, false)
			done.response.release()
			continue
		}
		may := ctx.Err() == nil && p.mayRetry(done.err)
		retry := may && p.proxier.spendRetry(p.job.Service)
		if !retry && !p.started && done.response != nil && errors.Is(done.err, errFailed) {
			return p.serveFailure(done)
		}
		p.logFailure(done, retry)
		done.response.release()
		if retry || may && p.started && p.awaitRetry(ctx) {
			continue
		}
		return finalError(ctx, p.ran, done.err)
	}
}

// logFailure logs a run that brought no answer that is passed on.
func (p *plainRequest) logFailure(r *plainRun, retry bool) {
	p.failure(r, retry).Warn("attempt failed")
}

// failure returns a logger with the fields of a run that failed.
func (p *plainRequest) failure(r *plainRun, retry bool) *logrus.Entry {
	return p.proxier.log(p.job).WithError(r.err).WithFields(r.finding.logFields()).WithFields(logrus.Fields{
		"endpoint":    r.endpoint.Endpoint,
		"runs":        p.runs,
		"left-ms":     time.Until(p.job.Deadline).Milliseconds(),
		"again":       retry,
		"retries":     p.proxier.budget(time.Now(), p.job.Service).Remaining(),
		"fingerprint": p.keys[0].Name,
	})
}

// serve passes the answer of a run on, unless that was done as it arrived, and logs it. If the caller
// does not receive it, the receiver logs the end of the request.
func (p *plainRequest) serve(r *plainRun) error {
	if r.streamed {
		p.logStreamServed(r)
		return nil
	}
	elapsed := time.Since(p.job.Request.Received)
	if err := p.write(r.response); err != nil {
		return err
	}
	p.logServed(r, elapsed)
	return nil
}

// serveFailure passes the response of an endpoint that ran the request and failed on. The line
// of the attempt is then the last one of the request.
func (p *plainRequest) serveFailure(r *plainRun) error {
	if err := p.write(r.response); err != nil {
		p.logFailure(r, false)
		return err
	}
	p.failure(r, false).WithFields(p.proxier.recordEnd(&p.job, reporter.Failed)).Warn("attempt failed")
	return nil
}

// logServed logs a response that was passed on elapsed after the request was received.
func (p *plainRequest) logServed(r *plainRun, elapsed time.Duration) {
	outcome, target := reporter.OnTime, p.job.Route.Target
	if elapsed > target && target > 0 {
		outcome = reporter.LateStart
	}
	log := p.proxier.log(p.job).WithFields(p.proxier.recordEnd(&p.job, outcome)).WithFields(logrus.Fields{
		"endpoint": r.endpoint.Endpoint,
		"status":   r.response.status,
		"bytes":    r.response.body.size,
		"ended-by": r.response.framing,
		"tries":    len(p.avoid),
		"taken-ms": elapsed.Milliseconds(),
	})
	p.proxier.Reporter.RecordResponse(p.job.Service, elapsed)
	if outcome != reporter.OnTime {
		p.late = true
		log.WithField("target-ms", target.Milliseconds()).Warn("request served late")
		return
	}
	log.Info("request served")
}

// choose admits the request and picks an endpoint for it. It is admitted anew if an endpoint
// crashed under the same request while it waited for the endpoint.
func (p *plainRequest) choose(ctx context.Context) (*quarantiner.Pass, cataloguer.Endpoint, error) {
	for {
		pass, err := p.proxier.admit(ctx, p.job.Deadline, p.admissionKeys())
		if err != nil {
			return nil, cataloguer.Endpoint{}, err
		}
		e, err := p.pick(ctx)
		if err != nil {
			pass.End()
			return nil, e, err
		}
		refusal := pass.Check(time.Now())
		if refusal == nil {
			return pass, e, nil
		}
		p.proxier.Balancer.Done(time.Now(), e.EndpointIncarnation, balancer.Cancelled)
		pass.End()
		if refusal.Hold <= 0 {
			return nil, e, quarantined(refusal)
		}
	}
}

// pick chooses an endpoint. If the limits of all endpoints are used up, it waits for the
// first one whose turn comes within the target, or for half of the time left.
func (p *plainRequest) pick(ctx context.Context) (cataloguer.Endpoint, error) {
	x := p.proxier
	start := time.Now()
	longest := time.Until(p.job.Deadline) / 2
	if target := p.job.Route.Target; target > 0 {
		longest = min(longest, target)
	}
	for {
		e, wait, ok := x.Balancer.Pick(time.Now(), x.Publisher.View().Fleet[p.job.Service], x.DataCentre, p.avoid)
		if ok {
			return e, nil
		}
		if wait < 0 {
			return e, errors.New("no untried endpoint of the service is left")
		}
		if time.Since(start)+wait > longest {
			return e, &classifier.Error{
				Kind:       classifier.Overloaded,
				Detail:     "the endpoints of the service take no more requests for now",
				RetryAfter: min(wait, maxLimitRetryAfter),
			}
		}
		select {
		case <-ctx.Done():
			return e, ctx.Err()
		case <-time.After(wait):
		}
	}
}

// maxLimitRetryAfter bounds the suggested retry delay after a refusal for a limit: the
// retry may reach an instance that has more of the limit left.
const maxLimitRetryAfter = time.Second

// mayRetry reports whether the request may be sent to another endpoint.
func (p *plainRequest) mayRetry(err error) bool {
	if errors.Is(err, exchanger.ErrNotSent) || errors.Is(err, errNotRun) {
		return true
	}
	if errors.Is(err, errCallerWrite) {
		return false
	}
	return p.job.Route.Repetition.Repeatable() && p.runs < p.job.Route.Attempts
}

// recordLimit records the limit that the endpoint names in its response.
func (p *plainRequest) recordLimit(sentAt time.Time, e cataloguer.Endpoint, info courier.ResponseMetadata) {
	if info.LimitError != nil {
		p.proxier.log(p.job).WithError(info.LimitError).WithField("endpoint", e.Endpoint).Warn("limit of an endpoint not understood")
		return
	}
	if p.proxier.Balancer.Limit(time.Now(), sentAt, e.EndpointIncarnation, info.Limit) {
		p.proxier.logLimit(e.Endpoint, info.Limit)
	}
}

// logLimit logs a limit that changed; 0 is none.
func (x *Proxier) logLimit(e identifier.Endpoint, perSecond float64) {
	x.Log.WithField("endpoint", e).WithField("per-second", perSecond).Info("endpoint names another limit")
}

const (
	// refusalLimit limits how much is read of the body of a response that reports
	// that the request did not run, in bytes.
	refusalLimit = 64 << 10
	// refusalTimeout limits the wait for the rest of such a response.
	refusalTimeout = 50 * time.Millisecond
)

// discardRefusal ends the exchange after a response that reports that the request
// did not run. The body is not used: it is read only so that the connection can be
// reused.
func discardRefusal(response *exchanger.Response, idle time.Duration) error {
	err := response.SetDeadline(time.Now().Add(refusalTimeout))
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(response, refusalLimit))
	}
	if err != nil {
		response.Discard()
	} else {
		response.Close(idle)
	}
	return errors.Wrapf(errNotRun, "status %d", response.Status)
}

// outcome returns the result of an attempt for the balancer.
func outcome(ctx context.Context, response *completeResponse, err error) balancer.Outcome {
	switch {
	case err == nil:
		return balancer.Responded
	case response != nil || errors.Is(err, errNotRun):
		return balancer.Failed
	case errors.Is(ctx.Err(), context.Canceled), errors.Is(err, errCallerWrite):
		return balancer.Cancelled
	}
	return balancer.Lost
}

// write writes the endpoint's response to the caller.
func (p *plainRequest) write(response *completeResponse) error {
	p.started = true
	defer response.release()
	h := p.w.Header()
	for name, values := range p.proxier.Codec.ResponseHeader(response.header) {
		h[name] = values
	}
	h["Content-Length"] = []string{strconv.FormatInt(response.body.size, 10)}
	p.w.WriteHeader(response.status)
	_, err := response.body.WriteTo(p.w)
	return errors.Wrap(err, "write the response")
}
