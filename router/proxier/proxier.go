// Package proxier forwards callers' requests to endpoints unchanged, and the
// endpoints' responses back byte for byte. It decides what may be retried: a
// request that must run at most once is sent again only if it is certain that it
// did not run, and a broken stream resumes on another chain after the last event
// that its caller received.
package proxier

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/balancer"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/quarantiner"
	"heatherhold.dev/router/reporter"
	"heatherhold.dev/router/streamer"
)

// Codec reads and writes the platform-specific headers.
type Codec interface {
	// RequestHeader returns the headers to send to an endpoint with r.
	RequestHeader(r *courier.Request, metadata courier.RequestMetadata) http.Header
	// ParseResponse parses the headers of an endpoint's response to r.
	ParseResponse(r *courier.Request, status int, h http.Header) courier.ResponseMetadata
	// ResponseHeader returns the headers of an endpoint's response that are passed on to
	// the caller.
	ResponseHeader(h http.Header) http.Header
}

// Orderer queries and controls model endpoints.
type Orderer interface {
	Report(ctx context.Context, address string) (director.Report, error)
	// Repath makes the first stage of a running request continue over another
	// chain. With director.ErrStageUnavailable, the returned address is that of the
	// stage that could not join the chain.
	Repath(ctx context.Context, id identifier.Request, chain []identifier.Stage) (string, error)
}

// Job is one request with the configuration that applied when it was admitted.
// Later configuration changes do not affect it.
type Job struct {
	Request *courier.Request
	// Revision is the revision of the configuration that admitted the request.
	Revision identifier.Revision
	Route    *cataloguer.Route
	Service  identifier.Service
	// Engine describes the service's model engines; nil for plain services.
	Engine   *cataloguer.Engine
	Customer identifier.Customer
	// Order is the urgency; 0 is the most urgent. Rank is the configuration of that
	// order, or nil if it has none.
	Order int
	Rank  *declarer.Rank
	// Deadline is when the caller's timeout, or the route's, expires.
	Deadline time.Time
}

// Proxier forwards requests. The exported fields must be set before use.
type Proxier struct {
	Publisher *publisher.Publisher
	Tickets   streamer.Tickets
	Exchanger *exchanger.Exchanger
	Codec     Codec
	Orderer   Orderer
	Balancer  *balancer.Balancer
	Reporter  *reporter.Reporter
	// Quarantiner keeps requests that crash endpoints from reaching more of them.
	Quarantiner *quarantiner.Quarantiner
	DataCentre  identifier.DataCentre
	Retries     Retries
	// OnLeaving, if not nil, is called when an endpoint says in an answer that it is leaving.
	OnLeaving func(identifier.EndpointIncarnation)
	// MaxBufferedBytes limits the memory for all buffered responses together, in
	// bytes; 0 selects a default.
	MaxBufferedBytes int64
	Log              logrus.FieldLogger

	quota    byteQuota
	reports  crashReports
	ends     crashReports
	lostRuns lostRuns
	tally    crashTally
	turns    turns

	mu      sync.Mutex
	budgets map[identifier.Service]*budget
	active  map[*attempt]bool
}

// Serve forwards the job's request to an endpoint and writes the response to w.
// If it returns an error with started set, part of a response has been written
// and the connection to the caller must be aborted.
func (x *Proxier) Serve(ctx context.Context, w http.ResponseWriter, j Job) (started bool, err error) {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	x.budget(time.Now(), j.Service).Earn()
	if j.Engine != nil {
		s := &stream{
			proxier: x,
			job:     j,
			engine:  j.Engine,
			keys:    keysOf(j),
		}
		s.begin(w, j.Request.LastEvent)
		err = s.run(ctx)
		x.countOutcome(j, err, s.outcome(j.Route) != reporter.OnTime)
		return s.started, err
	}
	p := &plainRequest{
		proxier: x,
		job:     j,
		keys:    keysOf(j),
	}
	p.begin(w, j.Request.LastEvent)
	err = p.run(ctx)
	x.countOutcome(j, err, p.late)
	return p.started, err
}

// countOutcome counts the outcome of a request.
func (x *Proxier) countOutcome(j Job, err error, late bool) {
	outcome := "ok"
	switch {
	case err != nil:
		outcome = string(classifier.Classify(err).Kind)
	case late:
		outcome = "late"
	}
	x.Reporter.CountOutcome(j.Service, j.Order, outcome)
}

// finalError returns the error for a request that is abandoned. If ran is set,
// the error does not claim that the request did not run.
func finalError(ctx context.Context, ran bool, err error) error {
	stopping := errors.Is(context.Cause(ctx), classifier.ErrStopping)
	switch {
	case stopping && ran:
		return classifier.NewStopped(err)
	case stopping:
		return classifier.NewStopping(err)
	case errors.Is(ctx.Err(), context.Canceled):
		return classifier.Wrap(classifier.Cancelled, err, "the caller disconnected")
	case ran && ctx.Err() != nil:
		return classifier.Wrap(classifier.TimedOut, err, "the request was not completed before its deadline")
	case ran:
		return classifier.Wrap(classifier.OutcomeUnknown, err, "the request was sent but no complete response was received")
	case ctx.Err() != nil:
		return classifier.Wrap(classifier.Overloaded, err, "the request did not start before its deadline")
	}
	var kind *classifier.Error
	if errors.As(err, &kind) {
		return kind
	}
	return classifier.Wrap(classifier.NoChain, err, "no endpoint accepted the request")
}

// sentTo holds the addresses to which a request was sent.
type sentTo []string

// add adds an address, and reports whether the request was sent to it before.
func (s *sentTo) add(address string) bool {
	if slices.Contains(*s, address) {
		return true
	}
	*s = append(*s, address)
	return false
}

// newRequest returns the request that forwards the job's request to address. again is set if
// it was sent there before.
func (x *Proxier) newRequest(j Job, address string, again bool, metadata courier.RequestMetadata) exchanger.Request {
	return exchanger.Request{
		Address: address,
		NewConn: again,
		Method:  j.Request.Method,
		Host:    j.Request.Host,
		URI:     j.Request.URI,
		Header:  x.Codec.RequestHeader(j.Request, metadata),
		Body:    j.Request.Body,
		Matches: func(status int, h http.Header) bool {
			return x.Codec.ParseResponse(j.Request, status, h).Matches
		},
	}
}

// log returns a logger that adds the job's identifying fields to each line.
func (x *Proxier) log(j Job) *logrus.Entry {
	return x.Log.WithFields(j.LogFields()).WithFields(logrus.Fields{
		"request":  j.Request.ID,
		"revision": j.Revision,
	})
}
