// Package forwarder passes calls to plain services. Calls whose method may be
// repeated are retried at other endpoints; others are sent at most once, under
// a claim and over a connection that is new.
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
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/claimer"
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/streamer"
)

const (
	dialTimeout = 500 * time.Millisecond
	// headLimit bounds the head of a plain service's answer, in bytes.
	headLimit = 64 << 10
	// answerLimit bounds a plain service's answer, in bytes.
	answerLimit = 4 << 20
	// keptLimit bounds an answer that is kept under a claim, in bytes.
	keptLimit   = 256 << 10
	maxAttempts = 3
	keepTimeout = 10 * time.Second
	idlePerHost = 64
)

// Call is one call to a plain service.
type Call struct {
	Request identifier.Request
	Service identifier.Service
	Method  string
	// Path is the path and query at the endpoint.
	Path   string
	Header http.Header
	Body   []byte
	// Claim names the call for calls that must not be repeated.
	Claim claimer.Key
	Hash  string
	// Progress is the longest wait for an answer.
	Progress   time.Duration
	Repeatable bool
	// Allowed is asked once more before a byte is sent.
	Allowed func() error
}

// Forwarder passes calls on. Set the exported fields first.
type Forwarder struct {
	Observer *observer.Observer
	Claimer  *claimer.Claimer
	Budget   *streamer.Budget
	Log      logrus.FieldLogger

	turn  atomic.Uint64
	once  sync.Once
	reuse http.Client
	fresh http.Client
}

func (f *Forwarder) prepare() {
	f.once.Do(func() {
		dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
		f.reuse.Transport = &http.Transport{
			DialContext:            dial,
			MaxIdleConnsPerHost:    idlePerHost,
			MaxResponseHeaderBytes: headLimit,
		}
		f.fresh.Transport = &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: headLimit,
		}
		f.reuse.CheckRedirect = noRedirect
		f.fresh.CheckRedirect = noRedirect
	})
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Forward sends c and returns the whole answer.
func (f *Forwarder) Forward(ctx context.Context, c Call) (*claimer.Answer, error) {
	f.prepare()
	if c.Repeatable {
		return f.repeat(ctx, c)
	}
	return f.atMostOnce(ctx, c)
}

// repeat tries endpoints in turn while the retry budget lasts.
func (f *Forwarder) repeat(ctx context.Context, c Call) (*claimer.Answer, error) {
	endpoints := f.endpoints(c.Service)
	if len(endpoints) == 0 {
		return nil, classifier.New(classifier.NoChain, "the service has no endpoint")
	}
	f.Budget.Earn()
	sent := false
	var err error
	for i := range maxAttempts {
		var a *claimer.Answer
		a, err = f.send(ctx, &f.reuse, endpoints[i%len(endpoints)], c)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			return nil, classifier.Wrap(classifier.Cancelled, err, "the caller went away")
		}
		f.reuse.CloseIdleConnections()
		sent = sent || !notSent(err)
		if !f.Budget.Spend() {
			break
		}
	}
	if !sent {
		return nil, classifier.Wrap(classifier.NotReached, err, "no endpoint of the service was reached")
	}
	return nil, classifier.Wrap(classifier.OutcomeUnknown, err, "the service gave no answer")
}

// atMostOnce sends a call under its claim. Only an endpoint that was never reached
// is replaced by another.
func (f *Forwarder) atMostOnce(ctx context.Context, c Call) (*claimer.Answer, error) {
	claim, kept, err := f.Claimer.Make(ctx, c.Claim, string(c.Request), c.Hash)
	if err != nil || kept != nil {
		return kept, err
	}
	// From here on the caller's leaving stops nothing: the answer must be kept.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Progress+keepTimeout)
	defer cancel()
	if err := c.Allowed(); err != nil {
		return nil, f.void(ctx, claim, err)
	}
	a, err := f.tryUnsent(ctx, c)
	switch {
	case err == nil:
		f.keep(ctx, claim, a)
		return a, nil
	case notSent(err):
		return nil, f.void(ctx, claim, classifier.Wrap(classifier.NotReached, err, "no endpoint of the service was reached"))
	}
	return nil, classifier.Wrap(classifier.OutcomeUnknown, err, "the call was sent and no answer came; it is not sent again")
}

// errNoEndpoint says that there is nobody to send to.
var errNoEndpoint = &net.OpError{
	Op:  "dial",
	Err: errors.New("the service has no endpoint"),
}

func (f *Forwarder) tryUnsent(ctx context.Context, c Call) (*claimer.Answer, error) {
	var err error = errNoEndpoint
	for _, e := range f.endpoints(c.Service) {
		var a *claimer.Answer
		a, err = f.send(ctx, &f.fresh, e, c)
		if err == nil || !notSent(err) {
			return a, err
		}
	}
	return nil, err
}

func (f *Forwarder) void(ctx context.Context, claim *claimer.Claim, why error) error {
	if err := f.Claimer.Void(ctx, claim); err != nil {
		f.Log.WithError(err).Warn("claim not freed; its key stays taken")
	}
	return why
}

// keep stores the answer. If it can't be stored the caller has it all the same,
// and a later call under the key gets outcome-unknown.
func (f *Forwarder) keep(ctx context.Context, claim *claimer.Claim, a *claimer.Answer) {
	if len(a.Body) > keptLimit {
		f.Log.WithField("bytes", len(a.Body)).Warn("answer too large to keep")
		return
	}
	if err := f.Claimer.Keep(ctx, claim, a); err != nil {
		f.Log.WithError(err).Warn("answer not kept")
	}
}

// endpoints returns the service's endpoints, each time from another start.
func (f *Forwarder) endpoints(s identifier.Service) []observer.Endpoint {
	all := f.Observer.View().Endpoints[s]
	if len(all) == 0 {
		return nil
	}
	start := int(f.turn.Add(1) % uint64(len(all)))
	return slices.Concat(all[start:], all[:start])
}

func (f *Forwarder) send(ctx context.Context, client *http.Client, e observer.Endpoint, c Call) (*claimer.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Progress)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+e.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	req.Header = c.Header.Clone()
	req.Header.Set("Heatherhold-Request", string(c.Request))
	res, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, answerLimit+1))
	if err != nil {
		return nil, err
	}
	if len(body) > answerLimit {
		return nil, errors.New("the answer is too large")
	}
	return &claimer.Answer{
		Status: res.StatusCode,
		Header: res.Header,
		Body:   body,
	}, nil
}

// notSent reports whether err means that no connection came to be.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
