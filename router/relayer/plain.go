package relayer

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

// plain is one request to a plain service.
type plain struct {
	relayer *Relayer
	job     Job
	w       http.ResponseWriter
	started bool
	late    bool
	// ran is set once an endpoint may have run the request, and runs counts those.
	ran   bool
	runs  int
	avoid []identifier.Life
}

// whole is a complete answer.
type whole struct {
	status int
	header http.Header
	body   *body
	said   courier.Answer
}

// drop gives the answer's room back; a may be nil.
func (a *whole) drop() {
	if a != nil {
		a.body.drop()
	}
}

// errNotRun says that the endpoint refused and did not run the request.
var errNotRun = errors.New("the endpoint did not run the request")

// errFailed says that the endpoint ran the request and failed.
var errFailed = errors.New("the endpoint failed")

// errAlien says that an answer bears no endpoint's signature.
var errAlien = errors.New("the answer bears no signature")

// alien reports whether an answer is no endpoint's word on the request, though it
// may look like one: a success, or a fault of the caller.
func alien(status int, said courier.Answer) bool {
	return !said.Stamped && status < http.StatusInternalServerError
}

func (p *plain) run(ctx context.Context) error {
	for {
		e, ok := p.pick()
		if !ok {
			return end(ctx, p.ran, errors.New("the service has no endpoint left to try"))
		}
		a, err := p.attempt(ctx, e)
		p.relayer.Balancer.Done(time.Now(), e.Life, outcome(ctx, a, err))
		if err == nil {
			p.report(e, a)
			return p.write(a)
		}
		p.avoid = append(p.avoid, e.Life)
		again := ctx.Err() == nil && p.mayRepeat(err) && p.relayer.repeats(p.job.Service)
		p.relayer.log(p.job).WithError(err).WithFields(logrus.Fields{
			"endpoint": e.Endpoint,
			"runs":     p.runs,
			"left-ms":  time.Until(p.job.Deadline).Milliseconds(),
			"again":    again,
			"retries":  p.relayer.budget(time.Now(), p.job.Service).Left(),
		}).Warn("attempt failed")
		if again {
			a.drop()
			continue
		}
		if a != nil && errors.Is(err, errFailed) {
			return p.write(a)
		}
		return end(ctx, p.ran, err)
	}
}

// report logs an answer that is passed on.
func (p *plain) report(e cataloguer.Endpoint, a *whole) {
	taken := time.Since(p.job.Request.Received)
	log := p.relayer.log(p.job).WithFields(logrus.Fields{
		"endpoint": e.Endpoint,
		"status":   a.status,
		"tries":    len(p.avoid) + 1,
		"taken-ms": taken.Milliseconds(),
	})
	p.relayer.Reporter.Answer(p.job.Service, taken)
	if target := p.job.Route.Target; taken > target && target > 0 {
		p.late = true
		log.WithField("target-ms", target.Milliseconds()).Warn("request served late")
		return
	}
	log.Info("request served")
}

func (p *plain) pick() (cataloguer.Endpoint, bool) {
	x := p.relayer
	return x.Balancer.Pick(time.Now(), x.Observer.View().Fleet[p.job.Service], x.DataCentre, p.avoid)
}

// mayRepeat reports whether the request may go to another endpoint.
func (p *plain) mayRepeat(err error) bool {
	if errors.Is(err, exchanger.ErrNotSent) || errors.Is(err, errNotRun) {
		return true
	}
	return p.job.Route.Repetition.Repeatable() && p.runs < p.job.Route.Attempts
}

// attemptPart is the part of what is left for which an endpoint that stays
// silent is waited for, where another may be asked.
const attemptPart = 0.4

func (p *plain) attempt(ctx context.Context, e cataloguer.Endpoint) (*whole, error) {
	j := p.job
	left := time.Until(j.Deadline)
	if j.Route.Repetition.Repeatable() && p.runs+1 < j.Route.Attempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(attemptPart*float64(left)))
		defer cancel()
	}
	a, err := p.relayer.Exchanger.Open(ctx, p.relayer.call(j, e.Address, courier.Send{
		Endpoint: e.Endpoint,
		Customer: j.Customer,
		Left:     left,
		Order:    j.Order,
	}))
	if errors.Is(err, exchanger.ErrNotSent) {
		p.relayer.Exchanger.Forget(e.Address)
		return nil, err
	}
	if err != nil {
		p.ran = true
		p.runs++
		p.relayer.Exchanger.Forget(e.Address)
		return nil, err
	}
	return p.read(a)
}

const (
	// refusalLimit bounds the body of an answer that says that nothing ran, in bytes.
	refusalLimit = 64 << 10
	// refusalWait is how long the rest of such an answer is waited for.
	refusalWait = 50 * time.Millisecond
)

// refused ends the exchange of an answer that says that nothing ran. Its body is
// of use to nobody: it is read only to keep the connection.
func refused(a *exchanger.Answer, idle time.Duration) error {
	err := a.SetDeadline(time.Now().Add(refusalWait))
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

// read takes the whole answer in.
func (p *plain) read(a *exchanger.Answer) (*whole, error) {
	said := p.relayer.Codec.Answer(p.job.Request, a.Status, a.Header)
	if said.NotRun {
		return nil, refused(a, said.Idle)
	}
	p.ran = true
	p.runs++
	if alien(a.Status, said) {
		a.Discard()
		return nil, errors.Wrapf(errAlien, "status %d", a.Status)
	}
	body := &body{relayer: p.relayer}
	if err := body.fill(a); err != nil {
		a.Discard()
		body.drop()
		return nil, errors.Wrap(exchanger.ErrLost, err.Error())
	}
	a.Close(said.Idle)
	out := &whole{
		status: a.Status,
		header: a.Header,
		body:   body,
		said:   said,
	}
	if a.Status >= http.StatusInternalServerError {
		return out, errors.Wrapf(errFailed, "status %d", a.Status)
	}
	return out, nil
}

// outcome says how a send went, for the balancer.
func outcome(ctx context.Context, a *whole, err error) balancer.Outcome {
	switch {
	case err == nil:
		return balancer.Answered
	case a != nil || errors.Is(err, errNotRun):
		return balancer.Failed
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.Withdrawn
	}
	return balancer.Lost
}

// write gives the caller the endpoint's answer.
func (p *plain) write(a *whole) error {
	p.started = true
	defer a.drop()
	h := p.w.Header()
	for name, values := range p.relayer.Codec.Returned(a.header) {
		h[name] = values
	}
	h["Content-Length"] = []string{strconv.FormatInt(a.body.size, 10)}
	p.w.WriteHeader(a.status)
	_, err := a.body.WriteTo(p.w)
	return errors.Wrap(err, "write the answer")
}
