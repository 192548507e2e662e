// Package server is the HTTP interface for callers: model requests in the OpenAI
// format, and calls to plain services.
package server

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/authenticator"
	"heatherhold.dev/router/forwarder"
	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/reporter"
	"heatherhold.dev/router/streamer"
)

// Server serves callers. Set the exported fields before use.
type Server struct {
	Publisher  *publisher.Publisher
	Streamer   *streamer.Streamer
	Forwarder  *forwarder.Forwarder
	Reporter   *reporter.Reporter
	Log        logrus.FieldLogger
	DataCentre identifier.DataCentre
	BodyLimit  int64
	// Bodies limits the memory of request bodies; nil sets no limit.
	Bodies *limiter.Bodies
	// BodyTimeout limits the time that a caller takes to send a request body.
	BodyTimeout time.Duration
	// WriteTimeout limits the time that a caller takes to read one event of a
	// streamed response.
	WriteTimeout time.Duration

	active activeRequests
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	r.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	r.HandleFunc("/v1/models", s.serve(s.models)).Methods(http.MethodGet)
	r.HandleFunc("/v1/completions", s.serve(s.completions)).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", s.serve(s.chat)).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}/").HandlerFunc(s.serve(s.forward))
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		classifier.Write(w, classifier.New(classifier.NotFound, "unknown path"))
	})
	return r
}

// Active returns the number of requests being served.
func (s *Server) Active() int {
	return s.active.len()
}

// EndActive ends the requests that are being served, at the end of a planned stop. Their callers get
// error responses, unless a part of a response was sent.
func (s *Server) EndActive() {
	s.active.cancel(classifier.ErrStopping)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// ready responds to the load balancer's readiness check: 200 if the balancer should send
// new requests.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.Publisher.Stopping():
		classifier.Write(w, classifier.New(classifier.Stopping, "the instance is stopping"))
	case !s.Publisher.Confirmed(time.Now()):
		classifier.Write(w, errStale)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

var errStale = &classifier.Error{
	Kind:       classifier.StaleConfiguration,
	Detail:     "the instance has not confirmed its configuration; retry at another instance",
	RetryAfter: time.Second,
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.Reporter.Write(w)
}

// exchange is a request and its authenticated caller.
type exchange struct {
	id     identifier.Request
	view   *publisher.View
	caller authenticator.Caller
	log    logrus.FieldLogger
	// responseStarted is set once a part of the response was sent.
	responseStarted bool
	// bodyFailed is set if the body could not be read to its end.
	bodyFailed bool
	// releaseBody ends the time in which the body counts as held; nil if there is none.
	releaseBody func()
}

// end ends the exchange.
func (x *exchange) end() {
	if x.releaseBody != nil {
		x.releaseBody()
	}
}

type handler func(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) error

// serve wraps h with what all requests share: authentication, limits, logging and
// error responses.
func (s *Server) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{id: identifier.Request(uuid.NewString())}
		defer x.end()
		ctx, span := s.Reporter.StartRequest(r, x.id)
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		s.active.add(x, cancel)
		defer s.active.remove(x)
		x.log = s.Log.WithField("request", x.id).WithField("trace", span.TraceID())
		w.Header().Set("Heatherhold-Request", string(x.id))
		if r.ContentLength != 0 {
			// At the end of the body net/http clears the deadline. A writer without a connection
			// doesn't support deadlines and needs none.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.BodyTimeout))
		}
		stopReading := context.AfterFunc(ctx, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
		defer stopReading()
		r.Body = http.MaxBytesReader(w, r.Body, s.BodyLimit)
		err := s.authenticate(r, x)
		if err == nil {
			err = h(ctx, w, r, x)
		}
		err = stoppingError(ctx, err)
		span.End(err)
		s.finish(w, x, err)
	}
}

// stoppingError returns the error for a request that ended with err. A planned stop that ends a
// request looks like a caller that disconnects.
func stoppingError(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), classifier.ErrStopping) && classifier.Classify(err).Kind == classifier.Cancelled {
		return classifier.NewStopped(err)
	}
	return err
}

// authenticate identifies the caller, and fails if the configuration is not
// confirmed.
func (s *Server) authenticate(r *http.Request, x *exchange) error {
	if !s.Publisher.Confirmed(time.Now()) {
		return errStale
	}
	x.view = s.Publisher.View()
	caller, err := x.view.Index.Caller(r)
	x.caller = caller
	return err
}

// finish records the outcome and, if err is not nil, logs it and sends the error
// response. If a part of a response was already sent, it aborts the connection
// instead, so that the response can't be mistaken for a complete one.
func (s *Server) finish(w http.ResponseWriter, x *exchange, err error) {
	if err == nil {
		s.Reporter.CountResponse("ok")
		return
	}
	e := classifier.Classify(err)
	s.Reporter.CountResponse(e.Kind)
	x.log.WithError(err).WithField("customer", x.caller.Customer).Info("request failed")
	if x.responseStarted {
		panic(http.ErrAbortHandler)
	}
	if x.bodyFailed {
		// What follows on the connection is the rest of the body, not a request.
		w.Header().Set("Connection", "close")
	}
	classifier.Write(w, e)
}

// accessCheck returns a function that checks the caller's access to the service by
// the configuration in force when it is called.
func (s *Server) accessCheck(r *http.Request, service identifier.Service) func() error {
	return func() error {
		if !s.Publisher.Confirmed(time.Now()) {
			return errStale
		}
		v := s.Publisher.View()
		caller, err := v.Index.Caller(r)
		if err != nil {
			return err
		}
		return checkAccess(v, caller, service)
	}
}

// checkAccess returns an error if the service doesn't exist or the caller may not use
// it.
func checkAccess(v *publisher.View, c authenticator.Caller, service identifier.Service) error {
	if _, ok := v.Declaration.Service[service]; !ok {
		return classifier.New(classifier.NotFound, "unknown service "+string(service))
	}
	if !c.MayUse(service) {
		return classifier.New(classifier.Forbidden, "the caller may not use service "+string(service))
	}
	return nil
}
