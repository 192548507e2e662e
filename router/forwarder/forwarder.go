// Package forwarder forwards calls to plain services. Calls whose method is
// declared repeatable are retried at other endpoints. All other calls are sent at
// most once, protected by a claim and over a newly opened connection.
package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/claimer"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/streamer"
)

const (
	dialTimeout = 500 * time.Millisecond
	// responseHeaderLimit bounds the header of a plain service's response, in bytes.
	responseHeaderLimit = 64 << 10
	// responseLimit bounds the body of a plain service's response, in bytes.
	responseLimit = 4 << 20
	// storedResponseLimit bounds the body of a response that is stored with its
	// claim, in bytes.
	storedResponseLimit = 256 << 10
	maxAttempts         = 3
	storeTimeout        = 10 * time.Second
	maxIdlePerHost      = 64
)

// Call is one call to a plain service.
type Call struct {
	Request identifier.Request
	Service identifier.Service
	Method  string
	// Path is the path and query of the request to the endpoint.
	Path   string
	Header http.Header
	Body   []byte
	// Claim is the key under which a call that is not repeatable is claimed, and Hash
	// identifies what the call asks for, to detect another call with the same key.
	Claim claimer.Key
	Hash  string
	// AttemptTimeout limits each attempt, until the whole response is read.
	AttemptTimeout time.Duration
	Repeatable     bool
	// Allowed checks the call's permission again, after a claim is acquired and
	// before any byte is sent.
	Allowed func() error
}

// Forwarder forwards calls to plain services. Set the exported fields before the
// first call to Forward.
type Forwarder struct {
	Publisher *publisher.Publisher
	Claimer   *claimer.Claimer
	Budget    *streamer.Budget
	Log       logrus.FieldLogger

	nextStart      atomic.Uint64
	once           sync.Once
	pooledClient   http.Client
	unpooledClient http.Client
}

func (f *Forwarder) prepare() {
	f.once.Do(func() {
		dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
		f.pooledClient.Transport = &http.Transport{
			DialContext:            dial,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			MaxResponseHeaderBytes: responseHeaderLimit,
		}
		f.unpooledClient.Transport = &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: responseHeaderLimit,
		}
		f.pooledClient.CheckRedirect = noRedirect
		f.unpooledClient.CheckRedirect = noRedirect
	})
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Forward sends c to an endpoint of its service and returns the complete response.
func (f *Forwarder) Forward(ctx context.Context, c Call) (*claimer.Response, error) {
	f.prepare()
	if c.Repeatable {
		return f.forwardRepeatable(ctx, c)
	}
	return f.forwardAtMostOnce(ctx, c)
}

// forwardRepeatable tries endpoints in turn, at most maxAttempts times and while
// the retry budget allows it.
func (f *Forwarder) forwardRepeatable(ctx context.Context, c Call) (*claimer.Response, error) {
	endpoints := f.endpoints(c.Service)
	if len(endpoints) == 0 {
		return nil, classifier.New(classifier.NoChain, "the service has no endpoint")
	}
	f.Budget.Earn()
	connected := false
	var err error
	for i := range maxAttempts {
		var response *claimer.Response
		response, err = f.send(ctx, &f.pooledClient, endpoints[i%len(endpoints)], c)
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil {
			return nil, classifier.Wrap(classifier.Cancelled, err, "the caller disconnected")
		}
		f.pooledClient.CloseIdleConnections()
		connected = connected || !isDialError(err)
		if !f.Budget.Spend() {
			break
		}
	}
	if !connected {
		return nil, classifier.Wrap(classifier.NotReached, err, "no endpoint of the service was reached")
	}
	return nil, classifier.Wrap(classifier.OutcomeUnknown, err, "the service did not return a complete response")
}

// forwardAtMostOnce sends a call after acquiring its claim. It tries another
// endpoint only if no connection to the previous one could be opened.
func (f *Forwarder) forwardAtMostOnce(ctx context.Context, c Call) (*claimer.Response, error) {
	claim, stored, err := f.Claimer.Acquire(ctx, c.Claim, string(c.Request), c.Hash)
	if err != nil || stored != nil {
		return stored, err
	}
	// From here on the call continues even if the caller disconnects, because the
	// response must be stored; only a planned stop ends it.
	sendCtx, cancelSend := withoutCaller(ctx)
	defer cancelSend()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.AttemptTimeout+storeTimeout)
	defer cancel()
	if err := c.Allowed(); err != nil {
		return nil, f.releaseClaim(ctx, claim, err)
	}
	response, err := f.sendToFirstReachable(sendCtx, c)
	switch {
	case err == nil:
		f.storeResponse(ctx, claim, response)
		return response, nil
	case isDialError(err):
		return nil, f.releaseClaim(ctx, claim, classifier.Wrap(classifier.NotReached, err, "no endpoint of the service was reached"))
	}
	return nil, classifier.Wrap(classifier.OutcomeUnknown, err, "the call was sent but no complete response was received; it is not sent again")
}

// withoutCaller returns a copy of ctx that does not end when the caller disconnects, but when a planned
// stop ends the request.
func withoutCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	out, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), classifier.ErrStopping) {
			cancel()
		}
	})
	return out, func() {
		stop()
		cancel()
	}
}

// errNoEndpoint reports that the service has no endpoint. It is a dial error, so
// that isDialError counts the call as not sent.
var errNoEndpoint = &net.OpError{
	Op:  "dial",
	Err: errors.New("the service has no endpoint"),
}

func (f *Forwarder) sendToFirstReachable(ctx context.Context, c Call) (*claimer.Response, error) {
	var err error = errNoEndpoint
	for _, e := range f.endpoints(c.Service) {
		var response *claimer.Response
		response, err = f.send(ctx, &f.unpooledClient, e, c)
		if err == nil || !isDialError(err) {
			return response, err
		}
	}
	return nil, err
}

func (f *Forwarder) releaseClaim(ctx context.Context, claim *claimer.Claim, cause error) error {
	if err := f.Claimer.Release(ctx, claim); err != nil {
		f.Log.WithError(err).Warn("claim not freed; its key stays taken")
	}
	return cause
}

// storeResponse stores the response with its claim. If that fails, the caller still
// gets the response, but a later call with the same key gets outcome-unknown.
func (f *Forwarder) storeResponse(ctx context.Context, claim *claimer.Claim, response *claimer.Response) {
	if len(response.Body) > storedResponseLimit {
		f.Log.WithField("bytes", len(response.Body)).Warn("answer too large to keep")
		return
	}
	if err := f.Claimer.StoreResponse(ctx, claim, response); err != nil {
		f.Log.WithError(err).Warn("answer not kept")
	}
}

// endpoints returns the service's endpoints in round-robin order: each call starts
// at the next endpoint of the list.
func (f *Forwarder) endpoints(s identifier.Service) []publisher.Endpoint {
	all := f.Publisher.View().Endpoints[s]
	if len(all) == 0 {
		return nil
	}
	start := int(f.nextStart.Add(1) % uint64(len(all)))
	return slices.Concat(all[start:], all[:start])
}

func (f *Forwarder) send(ctx context.Context, client *http.Client, e publisher.Endpoint, c Call) (*claimer.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
	defer cancel()
	written := make(writeResult, 1)
	ctx = written.trace(ctx)
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+e.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header = c.Header.Clone()
	req.Header.Set("Heatherhold-Request", string(c.Request))
	res, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if !courier.IsFinalStatus(res.StatusCode) {
		return nil, errors.Errorf("the endpoint sent status %d, which no response has", res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, responseLimit+1))
	if err != nil {
		return nil, err
	}
	if len(body) > responseLimit {
		return nil, errors.New("the response is too large")
	}
	if err := written.resetError(res); err != nil {
		return nil, errors.Wrap(err, "the connection ended while the request was written")
	}
	return &claimer.Response{
		Status: res.StatusCode,
		Header: res.Header,
		Body:   body,
	}, nil
}

// isDialError reports whether err means that no connection could be opened, so that
// nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
