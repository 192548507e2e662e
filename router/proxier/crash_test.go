package proxier_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/proxier"
)

// partCodec passes on the parts of the prompt as well.
type partCodec struct {
	codec
}

func (c partCodec) RequestHeader(r *courier.Request, m courier.RequestMetadata) http.Header {
	h := c.codec.RequestHeader(r, m)
	for _, part := range r.Parts {
		h.Add("Part", string(part))
	}
	return h
}

// crashingFleet is a set of endpoints that crash when they begin to answer a request
// with the part bad. It grants chains of its endpoints in turn, and answers for them.
type crashingFleet struct {
	bad string
	// onCrash, if set, is called before an endpoint crashes.
	onCrash func()
	alive   []identifier.Stage
	// ended, if set, reports for other endpoints than its own whether they have crashed.
	ended func(address string) bool

	mu      sync.Mutex
	next    int
	arrived int
	probes  int
	dead    map[string]bool
}

func newCrashingFleet(t *testing.T, bad string, n int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{
		bad:  bad,
		dead: make(map[string]bool),
	}
	for i := range n {
		s := httptest.NewServer(http.HandlerFunc(f.serve))
		t.Cleanup(s.Close)
		f.alive = append(f.alive, identifier.Stage{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    identifier.Endpoint(fmt.Sprintf("e%d", i)),
				Incarnation: 1,
			},
			Address: s.Listener.Addr().String(),
			To:      4,
		})
	}
	return f
}

func (f *crashingFleet) serve(w http.ResponseWriter, r *http.Request) {
	address := r.Context().Value(http.LocalAddrContextKey).(interface{ String() string }).String()
	crashes := slices.Contains(r.Header["Part"], f.bad)
	f.mu.Lock()
	if crashes {
		f.arrived++
	}
	dead := f.dead[address]
	f.mu.Unlock()
	if dead && !crashes {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Id", "r1")
	w.Header().Set("Stamp", "s")
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	if crashes {
		if f.onCrash != nil {
			f.onCrash()
		}
		f.mu.Lock()
		f.dead[address] = true
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}

// gone reports whether an endpoint has crashed.
func (f *crashingFleet) gone(address string) bool {
	return f.dead[address] || (f.ended != nil && f.ended(address))
}

// Acquire grants the next endpoint that has not crashed.
func (f *crashingFleet) Acquire(_ context.Context, _ identifier.Service, ask *messenger.Ask) (*acquirer.Ticket, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.alive {
		s := f.alive[f.next%len(f.alive)]
		f.next++
		if !f.gone(s.Address) {
			return acquirer.NewTicket(ask, []identifier.Stage{s}), nil
		}
	}
	return nil, classifier.New(classifier.NoChain, "every endpoint has crashed")
}

// Report answers for the endpoints that have not crashed.
func (f *crashingFleet) Report(_ context.Context, address string) (director.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes++
	if f.gone(address) {
		return director.Report{}, errors.New("connection refused")
	}
	return director.Report{Slowdown: 1}, nil
}

// Repath is not used: the chains have one stage.
func (f *crashingFleet) Repath(context.Context, identifier.Request, []identifier.Stage) (string, error) {
	return "", director.ErrStageUnavailable
}

// arrivals returns how many requests with the bad part have reached an endpoint.
func (f *crashingFleet) arrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrived
}

// serveParts forwards one request with the given parts.
func serveParts(x *proxier.Proxier, route *cataloguer.Route, engine *cataloguer.Engine, parts ...identifier.Part) error {
	return servePartsWithin(400*time.Millisecond, x, route, engine, parts...)
}

// servePartsWithin is serveParts with a time that the request has.
func servePartsWithin(timeout time.Duration, x *proxier.Proxier, route *cataloguer.Route, engine *cataloguer.Engine, parts ...identifier.Part) error {
	w := httptest.NewRecorder()
	_, err := x.Serve(context.Background(), w, proxier.Job{
		Request: &courier.Request{
			ID:     "r1",
			Method: http.MethodPost,
			Host:   "h",
			URI:    "/x",
			Parts:  parts,
		},
		Route:    route,
		Service:  "s",
		Engine:   engine,
		Deadline: time.Now().Add(timeout),
	})
	if err == nil && !strings.Contains(w.Body.String(), "id: 2") {
		return errors.New("incomplete response")
	}
	return err
}

const (
	// maxCrashArrivals is how many requests with a part that crashes endpoints may
	// reach endpoints in all: five, and three more.
	maxCrashArrivals = 5 + 3
	// crashInterval is the time between two requests of the tests.
	crashInterval = 30 * time.Millisecond
)

// TestPartThatCrashesEndpointsSentOn guards against sending requests with one part to
// endpoint after endpoint, although each of them crashes.
func TestPartThatCrashesEndpointsSentOn(t *testing.T) {
	fleet := newCrashingFleet(t, "bad", 60)
	f := newFixture(cataloguer.Resumable, true)
	f.proxier.Tickets = fleet
	f.proxier.Orderer = fleet
	f.proxier.Codec = partCodec{}
	for range 60 {
		_ = serveParts(f.proxier, &f.route, f.engine, "first", "bad")
		if err := serveParts(f.proxier, &f.route, f.engine, "first", "good"); err != nil {
			t.Errorf("got error %v for a sound request, want none", err)
		}
		time.Sleep(crashInterval)
	}
	if got := fleet.arrivals(); got > maxCrashArrivals {
		t.Errorf("got %d requests with the bad part at endpoints, want at most %d", got, maxCrashArrivals)
	}
}

// TestCrashOfManyStreamsAskedOnce guards against a question to an endpoint for each of
// the streams that its crash ended.
func TestCrashOfManyStreamsAskedOnce(t *testing.T) {
	const streams = 20
	fleet := newCrashingFleet(t, "bad", 1)
	f := newFixture(cataloguer.AtMostOnce, true)
	f.proxier.Tickets = fleet
	f.proxier.Orderer = fleet
	f.proxier.Codec = partCodec{}
	var arrived, group sync.WaitGroup
	arrived.Add(streams)
	fleet.onCrash = func() {
		arrived.Done()
		arrived.Wait()
	}
	for range streams {
		// No request's time may be over before the last one has arrived: nobody asks then.
		group.Go(func() { _ = servePartsWithin(time.Minute, f.proxier, &f.route, f.engine, "bad") })
	}
	group.Wait()
	if got := fleet.probes; got != 1 {
		t.Errorf("got %d questions for %d streams of one endpoint, want 1", got, streams)
	}
}
