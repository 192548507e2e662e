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
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/balancer"
	"heatherhold.dev/router/exchanger"
)

// plainRequest is one request to a plain service.
type plainRequest struct {
	proxier *Proxier
	job     Job
	w       http.ResponseWriter
	started bool
	late    bool
	// ran is set once an endpoint may have run the request, and runs counts these
	// endpoints.
	ran   bool
	runs  int
	avoid []identifier.EndpointIncarnation
}

// completeResponse is a response that has been read completely.
type completeResponse struct {
	status int
	header http.Header
	body   *body
	info   courier.ResponseMetadata
}

// release frees the response's buffer; a may be nil.
func (a *completeResponse) release() {
	if a != nil {
		a.body.release()
	}
}

// errNotRun reports that the endpoint refused the request and did not run it.
var errNotRun = errors.New("the endpoint did not run the request")

// errFailed reports that the endpoint ran the request and failed.
var errFailed = errors.New("the endpoint failed")

// errUnsigned reports a response without an endpoint's signature.
var errUnsigned = errors.New("the response is not signed by an endpoint")

// unsigned reports whether a response looks like an endpoint's result, a success
// or a client error, but does not have an endpoint's signature.
func unsigned(status int, info courier.ResponseMetadata) bool {
	return !info.Signed && status < http.StatusInternalServerError
}

func (p *plainRequest) run(ctx context.Context) error {
	for {
		e, ok := p.pick()
		if !ok {
			return finalError(ctx, p.ran, errors.New("no untried endpoint of the service is left"))
		}
		a, err := p.send(ctx, e)
		p.proxier.Balancer.Done(time.Now(), e.EndpointIncarnation, outcome(ctx, a, err))
		if err == nil {
			p.logServed(e, a)
			return p.write(a)
		}
		p.avoid = append(p.avoid, e.EndpointIncarnation)
		retry := ctx.Err() == nil && p.mayRetry(err) && p.proxier.spendRetry(p.job.Service)
		p.proxier.log(p.job).WithError(err).WithFields(logrus.Fields{
			"endpoint": e.Endpoint,
			"runs":     p.runs,
			"left-ms":  time.Until(p.job.Deadline).Milliseconds(),
			"again":    retry,
			"retries":  p.proxier.budget(time.Now(), p.job.Service).Remaining(),
		}).Warn("attempt failed")
		if retry {
			a.release()
			continue
		}
		if a != nil && errors.Is(err, errFailed) {
			return p.write(a)
		}
		return finalError(ctx, p.ran, err)
	}
}

// logServed logs a response that is passed on.
func (p *plainRequest) logServed(e cataloguer.Endpoint, a *completeResponse) {
	elapsed := time.Since(p.job.Request.Received)
	log := p.proxier.log(p.job).WithFields(logrus.Fields{
		"endpoint": e.Endpoint,
		"status":   a.status,
		"tries":    len(p.avoid) + 1,
		"taken-ms": elapsed.Milliseconds(),
	})
	p.proxier.Reporter.RecordResponse(p.job.Service, elapsed)
	if target := p.job.Route.Target; elapsed > target && target > 0 {
		p.late = true
		log.WithField("target-ms", target.Milliseconds()).Warn("request served late")
		return
	}
	log.Info("request served")
}

func (p *plainRequest) pick() (cataloguer.Endpoint, bool) {
	x := p.proxier
	return x.Balancer.Pick(time.Now(), x.Publisher.View().Fleet[p.job.Service], x.DataCentre, p.avoid)
}

// mayRetry reports whether the request may be sent to another endpoint.
func (p *plainRequest) mayRetry(err error) bool {
	if errors.Is(err, exchanger.ErrNotSent) || errors.Is(err, errNotRun) {
		return true
	}
	return p.job.Route.Repetition.Repeatable() && p.runs < p.job.Route.Attempts
}

// attemptFraction is the fraction of the remaining time that an attempt may take
// if another endpoint may be tried after it.
const attemptFraction = 0.4

func (p *plainRequest) send(ctx context.Context, e cataloguer.Endpoint) (*completeResponse, error) {
	j := p.job
	remaining := time.Until(j.Deadline)
	if j.Route.Repetition.Repeatable() && p.runs+1 < j.Route.Attempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(attemptFraction*float64(remaining)))
		defer cancel()
	}
	a, err := p.proxier.Exchanger.Open(ctx, p.proxier.newCall(j, e.Address, courier.RequestMetadata{
		Endpoint:  e.Endpoint,
		Customer:  j.Customer,
		Remaining: remaining,
		Order:     j.Order,
	}))
	if errors.Is(err, exchanger.ErrNotSent) {
		p.proxier.Exchanger.CloseIdle(e.Address)
		return nil, err
	}
	if err != nil {
		p.ran = true
		p.runs++
		p.proxier.Exchanger.CloseIdle(e.Address)
		return nil, err
	}
	return p.read(a)
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
func discardRefusal(a *exchanger.Response, idle time.Duration) error {
	err := a.SetDeadline(time.Now().Add(refusalTimeout))
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(a, refusalLimit))
	}
	if err != nil {
		a.Discard()
	} else {
		a.Close(idle)
	}
	return errors.Wrapf(errNotRun, "status %d", a.Status)
}

// read reads the whole response.
func (p *plainRequest) read(a *exchanger.Response) (*completeResponse, error) {
	info := p.proxier.Codec.ParseResponse(p.job.Request, a.Status, a.Header)
	if info.NotRun {
		return nil, discardRefusal(a, info.IdleTimeout)
	}
	p.ran = true
	p.runs++
	if unsigned(a.Status, info) {
		a.Discard()
		return nil, errors.Wrapf(errUnsigned, "status %d", a.Status)
	}
	body := &body{proxier: p.proxier}
	if err := body.readAll(a); err != nil {
		a.Discard()
		body.release()
		return nil, errors.Wrap(exchanger.ErrLost, err.Error())
	}
	a.Close(info.IdleTimeout)
	out := &completeResponse{
		status: a.Status,
		header: a.Header,
		body:   body,
		info:   info,
	}
	if a.Status >= http.StatusInternalServerError {
		return out, errors.Wrapf(errFailed, "status %d", a.Status)
	}
	return out, nil
}

// outcome returns the result of an attempt for the balancer.
func outcome(ctx context.Context, a *completeResponse, err error) balancer.Outcome {
	switch {
	case err == nil:
		return balancer.Responded
	case a != nil || errors.Is(err, errNotRun):
		return balancer.Failed
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.Cancelled
	}
	return balancer.Lost
}

// write writes the endpoint's response to the caller.
func (p *plainRequest) write(a *completeResponse) error {
	p.started = true
	defer a.release()
	h := p.w.Header()
	for name, values := range p.proxier.Codec.ResponseHeader(a.header) {
		h[name] = values
	}
	h["Content-Length"] = []string{strconv.FormatInt(a.body.size, 10)}
	p.w.WriteHeader(a.status)
	_, err := a.body.WriteTo(p.w)
	return errors.Wrap(err, "write the response")
}
