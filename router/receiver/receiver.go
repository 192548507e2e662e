// Package receiver is the callers' interface on a platform whose requests are
// passed on unchanged: it finds route and customer, takes the request in whole,
// and answers for what can't be served.
package receiver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/relayer"
)

// Codec reads callers' headers.
type Codec interface {
	Request(r *http.Request) (*courier.Request, error)
}

// Receiver serves callers. Set the exported fields first.
type Receiver struct {
	Observer *observer.Observer
	Relayer  *relayer.Relayer
	Codec    Codec
	// Refused, if it is set, is told of each request that is answered with an
	// error of the router's own.
	Refused func(classifier.Kind)
	Log     logrus.FieldLogger

	active atomic.Int64
	closed atomic.Bool
}

// Active returns how many requests are being served.
func (x *Receiver) Active() int64 {
	return x.active.Load()
}

// Close refuses requests that come from now on: there may not be the time left to
// finish them. Those being served go on.
func (x *Receiver) Close() {
	x.closed.Store(true)
}

// Ready answers the balancer: 200 while the instance can serve new callers.
func (x *Receiver) Ready(w http.ResponseWriter, _ *http.Request) {
	if x.Observer.Stopping() || x.Observer.View().Site == nil || !x.Observer.Confirmed(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP serves one request.
func (x *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.active.Add(1)
	defer x.active.Add(-1)
	if x.Observer.Stopping() {
		w.Header().Set("Connection", "close")
	}
	v := x.Observer.View()
	request, err := x.Codec.Request(r)
	bodyUntil(w, r, request.Received.Add(patience(request)))
	if err != nil {
		x.refuse(w, v, request, classifier.New(classifier.BadRequest, err.Error()))
		return
	}
	if x.closed.Load() {
		x.refuse(w, v, request, &classifier.Error{
			Kind:       classifier.Stopping,
			Detail:     "the instance stops; another one takes the request",
			RetryAfter: stoppingRetry,
		})
		return
	}
	started, err := x.serve(w, r, v, request)
	if err == nil {
		return
	}
	// A body that meets its deadline ends the context too, with its caller there.
	slow := classifier.Classify(err).Kind == classifier.TooSlow
	if errors.Is(r.Context().Err(), context.Canceled) && !slow {
		x.log(v, request, err).Info("caller went away")
		panic(http.ErrAbortHandler)
	}
	if started {
		// A part of the answer is out: only a broken connection tells the
		// caller that it is not whole.
		x.log(v, request, err).Warn("answer broken off")
		panic(http.ErrAbortHandler)
	}
	x.refuse(w, v, request, err)
}

// log returns a log for the end of a request that was not served and was judged
// by v.
func (x *Receiver) log(v *observer.View, request *courier.Request, err error) *logrus.Entry {
	e := classifier.Classify(err)
	return x.Log.WithError(err).WithFields(logrus.Fields{
		"request":  request.ID,
		"kind":     e.Kind,
		"status":   classifier.AnswerOf(e.Kind).Status,
		"revision": v.Revision,
		"held-ms":  time.Since(request.Received).Milliseconds(),
	})
}

func (x *Receiver) serve(w http.ResponseWriter, r *http.Request, v *observer.View, request *courier.Request) (bool, error) {
	if v.Site == nil || !x.Observer.Confirmed(time.Now()) {
		return false, &classifier.Error{
			Kind:       classifier.StaleConfiguration,
			Detail:     "the instance has no configuration that is known to be in force",
			RetryAfter: staleRetry,
		}
	}
	if err := head(r, v.Site.Limits.HeaderBytes); err != nil {
		return false, err
	}
	job, err := x.job(v, r, request)
	if err != nil {
		return false, err
	}
	bodyUntil(w, r, job.Deadline)
	if request.Body, err = body(w, r, v.Site.Limits.BodyBytes); err != nil {
		return false, err
	}
	return x.Relayer.Serve(r.Context(), w, job)
}

// job finds what is declared for a request.
func (x *Receiver) job(v *observer.View, r *http.Request, request *courier.Request) (relayer.Job, error) {
	route, ok := v.Site.Route(r.Host, r.URL.EscapedPath())
	if !ok {
		return relayer.Job{}, classifier.New(classifier.NotFound, "no route leads there")
	}
	job := relayer.Job{
		Request:  request,
		Revision: v.Revision,
		Route:    route,
		Service:  route.Pick(rand.Float64()),
		Order:    route.Order,
		Deadline: deadline(request, route),
	}
	if !route.Public && v.Site.HasCustomers() {
		customer, ok := v.Site.Customer(request.Key)
		if !ok {
			return relayer.Job{}, classifier.New(classifier.Unauthenticated, "the key is not known")
		}
		job.Customer = customer.Name
		if customer.HasOrder {
			job.Order = customer.Order
		}
	}
	job.Rank = v.Rank(relayer.RankOf(job.Order))
	service, ok := v.Site.Services[job.Service]
	if !ok {
		return relayer.Job{}, classifier.New(classifier.NoChain, "the service is not declared")
	}
	job.Engine = service.Engine
	return job, nil
}

// deadline returns when the caller's patience or the route's ends.
func deadline(r *courier.Request, route *cataloguer.Route) time.Time {
	wait := patience(r)
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return r.Received.Add(wait)
}

// patience returns how long the caller waits.
func patience(r *courier.Request) time.Duration {
	if r.Patience <= 0 {
		return defaultPatience
	}
	return r.Patience
}

const (
	// defaultPatience holds where neither caller nor route says how long to wait.
	defaultPatience = 30 * time.Second
	// staleRetry is when a caller had better come back to an instance that
	// waits for its configuration.
	staleRetry = 300 * time.Millisecond
	// stoppingRetry is when a caller had better come to another instance.
	stoppingRetry = 50 * time.Millisecond
	// busyRetry is when a caller had better come back where no better time is known.
	busyRetry = 500 * time.Millisecond
)

// refuse answers a request of which nothing was answered yet.
func (x *Receiver) refuse(w http.ResponseWriter, v *observer.View, request *courier.Request, err error) {
	x.log(v, request, err).Warn("request not served")
	e := classifier.Classify(err)
	if x.Refused != nil {
		x.Refused(e.Kind)
	}
	status := classifier.AnswerOf(e.Kind).Status
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", seconds(e.RetryAfter))
	}
	e.RetryAfter = 0
	classifier.Write(w, e)
}

// seconds writes a time for Retry-After, to the hundredth of a second.
func seconds(d time.Duration) string {
	if d <= 0 {
		d = busyRetry
	}
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}
