package proxier_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/balancer"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/proxier"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/quarantiner"
	"heatherhold.dev/router/reporter"
)

// codec is a minimal proxier.Codec.
type codec struct{}

func (codec) RequestHeader(_ *courier.Request, s courier.RequestMetadata) http.Header {
	h := http.Header{"Id": {"r1"}}
	if s.LastEvent > 0 {
		h.Set("After", strconv.FormatInt(s.LastEvent, 10))
	}
	return h
}

func (codec) ParseResponse(_ *courier.Request, _ int, h http.Header) courier.ResponseMetadata {
	limit, _ := strconv.ParseFloat(h.Get("Limit"), 64)
	retryAfter, _ := time.ParseDuration(h.Get("Pause"))
	return courier.ResponseMetadata{
		Limit:      limit,
		Matches:    h.Get("Id") == "r1",
		Identified: h.Get("Id") == "r1",
		NotRun:     h.Get("Not-Run") != "",
		Signed:     h.Get("Stamp") != "",
		RefusedBy:  h.Get("At-Fault"),
		Leaving:    h.Get("Leaving") != "",
		RetryAfter: retryAfter,
	}
}

func (codec) ResponseHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Transfer-Encoding")
	out.Del("Content-Length")
	return out
}

// endpoint is a fake endpoint that responds to each connection's request with the
// serve function given to newEndpoint.
type endpoint struct {
	cataloguer.Endpoint

	// stop makes the endpoint refuse further connections.
	stop func()

	mu       sync.Mutex
	received []string
	closed   chan struct{}
}

// runs returns the After header of each request that the endpoint received.
func (e *endpoint) runs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

func newEndpoint(t *testing.T, name string, serve func(after int, w io.Writer)) *endpoint {
	t.Helper()
	e := &endpoint{closed: make(chan struct{}, 10)}
	e.listen(t, name, func(c net.Conn) { e.serve(c, serve) })
	return e
}

// listen serves connections until the test ends, and names the endpoint.
func (e *endpoint) listen(t *testing.T, name string, serve func(c net.Conn)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.Endpoint = cataloguer.Endpoint{
		EndpointIncarnation: identifier.EndpointIncarnation{
			Endpoint:    identifier.Endpoint(name),
			Incarnation: 1,
		},
		Service: "s",
		Address: l.Addr().String(),
	}
	e.stop = func() { l.Close() }
	acceptConns(t, l, serve)
}

// acceptConns serves the listener's connections until the test ends.
func acceptConns(t *testing.T, l net.Listener, serve func(c net.Conn)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			context.AfterFunc(ctx, func() { c.Close() })
			group.Go(func() error {
				defer c.Close()
				serve(c)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		cancel()
		group.Wait()
	})
}

func (e *endpoint) serve(c net.Conn, serve func(after int, w io.Writer)) {
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	io.Copy(io.Discard, req.Body)
	after, _ := strconv.Atoi(req.Header.Get("After"))
	e.mu.Lock()
	e.received = append(e.received, req.Header.Get("After"))
	e.mu.Unlock()
	serve(after, c)
	if _, err := r.ReadByte(); err != nil {
		select {
		case e.closed <- struct{}{}:
		default:
		}
	}
}

// reply returns a serve function that writes a complete response.
func reply(status int, headers, body string) func(int, io.Writer) {
	return func(_ int, w io.Writer) {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: r1\r\nStamp: s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	}
}

// dropConnection closes the connection without a response.
func dropConnection(_ int, w io.Writer) {
	w.(net.Conn).Close()
}

// streamEvents returns a serve function that writes the events after the requested
// one up to last. It then ends the stream, or closes the connection in the middle
// of the next event if complete is false.
func streamEvents(last int, complete bool) func(int, io.Writer) {
	return func(after int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := after + 1; i <= last; i++ {
			writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
		if complete {
			fmt.Fprint(w, "0\r\n\r\n")
			return
		}
		writeChunk(w, fmt.Sprintf("id: %d\nda", last+1))
		w.(net.Conn).Close()
	}
}

func writeChunk(w io.Writer, s string) {
	fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s)
}

// tickets grants the first chain without an endpoint that is to be avoided.
type tickets struct {
	chains [][]identifier.Stage
	// freeAt is when the chains after the first one are free.
	freeAt time.Time
	// list is the position of the list on which the owner decides.
	list identifier.Position
	// reuseLast grants the last chain if all are to be avoided.
	reuseLast bool
	// payRetries pays for retries out of the owner's budget.
	payRetries bool
	mu         sync.Mutex
	asks       []*messenger.Ask
}

func (x *tickets) Acquire(_ context.Context, _ identifier.Service, ask *messenger.Ask) (*acquirer.Ticket, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.asks = append(x.asks, ask)
	for i, chain := range x.chains {
		if i > 0 && time.Now().Before(x.freeAt) {
			break
		}
		avoid := slices.ContainsFunc(chain, func(s identifier.Stage) bool {
			return slices.ContainsFunc(ask.GetAvoid(), func(m *messenger.Mark) bool { return m.GetEndpoint() == string(s.Endpoint) })
		})
		if !avoid {
			return x.ticket(ask, chain), nil
		}
	}
	if x.reuseLast {
		return x.ticket(ask, x.chains[len(x.chains)-1]), nil
	}
	return nil, classifier.New(classifier.Overloaded, "no chain available")
}

func (x *tickets) ticket(ask *messenger.Ask, chain []identifier.Stage) *acquirer.Ticket {
	t := acquirer.NewTicket(ask, chain)
	t.List = x.list
	t.Retry = ask.GetRetry() && x.payRetries
	return t
}

// orders is a fake proxier.Orderer: every endpoint but the unresponsive one responds
// with a report.
type orders struct {
	// unresponsive is the address of an endpoint that does not respond.
	unresponsive string
	// slow is the address of an endpoint that reports that it is slow.
	slow string

	mu       sync.Mutex
	repathed []identifier.Stage
	onRepath func()
}

func (o *orders) Report(_ context.Context, address string) (director.Report, error) {
	if address == o.unresponsive {
		return director.Report{}, errors.New("no response")
	}
	report := director.Report{Slowdown: 1}
	if address == o.slow {
		report.Slowdown = 12
	}
	return report, nil
}

func (o *orders) Repath(_ context.Context, _ identifier.Request, chain []identifier.Stage) (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.repathed = chain
	o.onRepath()
	return "", nil
}

func stage(e *endpoint, from, to identifier.Layer) identifier.Stage {
	return identifier.Stage{
		EndpointIncarnation: e.EndpointIncarnation,
		Address:             e.Address,
		From:                from,
		To:                  to,
	}
}

// fixture is a proxier with fake collaborators.
type fixture struct {
	proxier *proxier.Proxier
	tickets *tickets
	orders  *orders
	route   cataloguer.Route
	engine  *cataloguer.Engine
}

func newFixture(repetition cataloguer.Repetition, streams bool, endpoints ...*endpoint) *fixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	service := cataloguer.Service{Name: "s"}
	f := &fixture{
		tickets: &tickets{},
		orders:  &orders{onRepath: func() {}},
		route: cataloguer.Route{
			Name:       "r",
			Repetition: repetition,
			Streams:    streams,
			Target:     300 * time.Millisecond,
			Gap:        200 * time.Millisecond,
			Attempts:   2,
		},
	}
	v := &publisher.View{
		Live:     []identifier.Instance{"i1"},
		Eligible: []identifier.Instance{"i1"},
		Fleet:    make(map[identifier.Service][]cataloguer.Endpoint),
	}
	for _, e := range endpoints {
		v.Fleet["s"] = append(v.Fleet["s"], e.Endpoint)
		f.tickets.chains = append(f.tickets.chains, []identifier.Stage{stage(e, 0, 4)})
	}
	if streams {
		service.Engine = &cataloguer.Engine{
			Layers: 4,
			Stride: 1,
		}
	}
	f.engine = service.Engine
	v.Site = &cataloguer.Configuration{Services: map[identifier.Service]cataloguer.Service{"s": service}}
	o := publisher.New()
	o.Publish(v)
	f.proxier = &proxier.Proxier{
		Publisher: o,
		Tickets:   f.tickets,
		Exchanger: &exchanger.Exchanger{DialTimeout: time.Second},
		Codec:     codec{},
		Orderer:   f.orders,
		Balancer:  &balancer.Balancer{},
		Reporter:  reporter.New(nil),
		Quarantiner: &quarantiner.Quarantiner{
			Self: "i1",
			Live: func() []identifier.Instance { return []identifier.Instance{"i1"} },
			Log:  log,
		},
		Retries: proxier.Retries{
			Ratio: 0.2,
			Burst: 10,
		},
		Log: log,
	}
	return f
}

// serve forwards one request and returns the response that its caller receives.
func (f *fixture) serve(ctx context.Context, timeout time.Duration) (*httptest.ResponseRecorder, bool, error) {
	w := httptest.NewRecorder()
	started, err := f.proxier.Serve(ctx, w, f.job(timeout))
	return w, started, err
}

// job returns a request of the fixture's route.
func (f *fixture) job(timeout time.Duration) proxier.Job {
	return proxier.Job{
		Request: &courier.Request{
			ID:     "r1",
			Method: http.MethodPost,
			Host:   "h",
			URI:    "/x",
		},
		Route:    &f.route,
		Service:  "s",
		Engine:   f.engine,
		Deadline: time.Now().Add(timeout),
	}
}

func kindOf(err error) classifier.Kind {
	if err == nil {
		return ""
	}
	return classifier.Classify(err).Kind
}

func ids(body string) string {
	var out []string
	for line := range strings.SplitSeq(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			out = append(out, id)
		}
	}
	return strings.Join(out, " ")
}
