// Package server is the callers' interface: model work in the OpenAI format,
// and calls to plain services.
package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/authenticator"
	"heatherhold.dev/router/forwarder"
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/reporter"
	"heatherhold.dev/router/streamer"
)

// Server serves callers. Set the exported fields first.
type Server struct {
	Observer   *observer.Observer
	Streamer   *streamer.Streamer
	Forwarder  *forwarder.Forwarder
	Reporter   *reporter.Reporter
	Log        logrus.FieldLogger
	DataCentre identifier.DataCentre
	BodyLimit  int64
	// BodyTimeout is how long a caller may take to send its body.
	BodyTimeout time.Duration
	// WriteTimeout is how long a caller may take to read one piece of answer.
	WriteTimeout time.Duration

	active atomic.Int64
}

// Handler returns the HTTP interface.
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
		classifier.Write(w, classifier.New(classifier.NotFound, "there is no such path"))
	})
	return r
}

// Active returns how many requests are being served.
func (s *Server) Active() int64 {
	return s.active.Load()
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// ready says whether the balancer should send new work.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.Observer.Stopping():
		classifier.Write(w, classifier.New(classifier.Stopping, "the instance is stopping"))
	case !s.Observer.Confirmed(time.Now()):
		classifier.Write(w, errStale)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

var errStale = &classifier.Error{
	Kind:       classifier.StaleConfiguration,
	Detail:     "the instance has not confirmed its configuration; try another",
	RetryAfter: time.Second,
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.Reporter.Write(w)
}

// exchange is one request with what is known of its caller.
type exchange struct {
	id     identifier.Request
	view   *observer.View
	caller authenticator.Caller
	log    logrus.FieldLogger
	// wrote is set once a part of the answer was sent.
	wrote bool
}

type handler func(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) error

// serve wraps h with what all calls share: identity, limits, logs and errors.
func (s *Server) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		x := &exchange{id: identifier.Request(uuid.NewString())}
		ctx, span := s.Reporter.Request(r, x.id)
		x.log = s.Log.WithField("request", x.id).WithField("trace", span.Trace())
		w.Header().Set("Heatherhold-Request", string(x.id))
		// A writer without deadlines has no slow callers.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.BodyTimeout))
		r.Body = http.MaxBytesReader(w, r.Body, s.BodyLimit)
		err := s.identify(r, x)
		if err == nil {
			err = h(ctx, w, r, x)
		}
		span.End(err)
		s.finish(w, x, err)
	}
}

// identify finds out who calls, by a configuration that is confirmed.
func (s *Server) identify(r *http.Request, x *exchange) error {
	if !s.Observer.Confirmed(time.Now()) {
		return errStale
	}
	x.view = s.Observer.View()
	caller, err := x.view.Index.Caller(r)
	x.caller = caller
	return err
}

// finish logs the outcome and answers an error. After a part of an answer
// was sent the connection is broken off, so that it can't look whole.
func (s *Server) finish(w http.ResponseWriter, x *exchange, err error) {
	if err == nil {
		s.Reporter.Answered("ok")
		return
	}
	e := classifier.Classify(err)
	s.Reporter.Answered(e.Kind)
	x.log.WithError(err).WithField("customer", x.caller.Customer).Info("request failed")
	if x.wrote {
		panic(http.ErrAbortHandler)
	}
	classifier.Write(w, e)
}

// allowed returns a check of the caller's right by the configuration in force
// at the time of the check.
func (s *Server) allowed(r *http.Request, service identifier.Service) func() error {
	return func() error {
		if !s.Observer.Confirmed(time.Now()) {
			return errStale
		}
		v := s.Observer.View()
		caller, err := v.Index.Caller(r)
		if err != nil {
			return err
		}
		return may(v, caller, service)
	}
}

// may reports whether the caller may use the service at all.
func may(v *observer.View, c authenticator.Caller, service identifier.Service) error {
	if _, ok := v.Declaration.Service[service]; !ok {
		return classifier.New(classifier.NotFound, "there is no service "+string(service))
	}
	if !c.May(service) {
		return classifier.New(classifier.Forbidden, "the caller may not use service "+string(service))
	}
	return nil
}
