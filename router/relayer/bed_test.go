package relayer_test

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
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/relayer"
	"heatherhold.dev/router/reporter"
)

// codec is a platform's headers, as plain as can be.
type codec struct{}

func (codec) Header(_ *courier.Request, s courier.Send) http.Header {
	h := http.Header{"Id": {"r1"}}
	if s.After > 0 {
		h.Set("After", strconv.FormatInt(s.After, 10))
	}
	return h
}

func (codec) Answer(_ *courier.Request, _ int, h http.Header) courier.Answer {
	return courier.Answer{
		Mine:    h.Get("Id") == "r1",
		NotRun:  h.Get("Not-Run") != "",
		Stamped: h.Get("Stamp") != "",
		AtFault: h.Get("At-Fault"),
	}
}

func (codec) Returned(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Transfer-Encoding")
	out.Del("Content-Length")
	return out
}

// endpoint is a stand-in that answers each request with what serve returns; a
// reply that ends early closes the connection.
type endpoint struct {
	cataloguer.Endpoint

	mu       sync.Mutex
	arrivals []string
	closed   chan struct{}
}

func (e *endpoint) ran() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

func newEndpoint(t *testing.T, name string, serve func(after int, w io.Writer)) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{
		Endpoint: cataloguer.Endpoint{
			Life: identifier.Life{
				Endpoint:    identifier.Endpoint(name),
				Incarnation: 1,
			},
			Service: "s",
			Address: l.Addr().String(),
		},
		closed: make(chan struct{}, 10),
	}
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
				e.serve(c, serve)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		cancel()
		group.Wait()
	})
	return e
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
	e.arrivals = append(e.arrivals, req.Header.Get("After"))
	e.mu.Unlock()
	serve(after, c)
	if _, err := r.ReadByte(); err != nil {
		select {
		case e.closed <- struct{}{}:
		default:
		}
	}
}

// reply writes a whole answer.
func reply(status int, headers, body string) func(int, io.Writer) {
	return func(_ int, w io.Writer) {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: r1\r\nStamp: s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	}
}

// lose reads the request and closes the connection.
func lose(_ int, w io.Writer) {
	w.(net.Conn).Close()
}

// events writes a stream of events after the given one up to last, and ends it
// as whole, or in the middle of the next event.
func events(last int, whole bool) func(int, io.Writer) {
	return func(after int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := after + 1; i <= last; i++ {
			chunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
		if whole {
			fmt.Fprint(w, "0\r\n\r\n")
			return
		}
		chunk(w, fmt.Sprintf("id: %d\nda", last+1))
		w.(net.Conn).Close()
	}
}

func chunk(w io.Writer, s string) {
	fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s)
}

// tickets gives the chains of the endpoints in turn that are not to be avoided.
type tickets struct {
	chains [][]identifier.Stage
	// lenient gives the last chain where all are to be avoided.
	lenient bool
	mu      sync.Mutex
	asks    []*messenger.Ask
}

func (x *tickets) Acquire(_ context.Context, _ identifier.Service, ask *messenger.Ask) (*acquirer.Ticket, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.asks = append(x.asks, ask)
	for _, chain := range x.chains {
		avoided := slices.ContainsFunc(chain, func(s identifier.Stage) bool {
			return slices.ContainsFunc(ask.GetAvoid(), func(m *messenger.Mark) bool { return m.GetEndpoint() == string(s.Endpoint) })
		})
		if !avoided {
			return acquirer.NewTicket(ask, chain), nil
		}
	}
	if x.lenient {
		return acquirer.NewTicket(ask, x.chains[len(x.chains)-1]), nil
	}
	return nil, classifier.New(classifier.Overloaded, "no chain")
}

// orders answers for all endpoints but the dead.
type orders struct {
	dead string
	// slow says of itself that it is slow.
	slow string

	mu    sync.Mutex
	moved []identifier.Stage
	onto  func()
}

func (o *orders) Report(_ context.Context, address string) (director.Report, error) {
	if address == o.dead {
		return director.Report{}, errors.New("no answer")
	}
	report := director.Report{Pace: 1}
	if address == o.slow {
		report.Pace = 12
	}
	return report, nil
}

func (o *orders) Repath(_ context.Context, _ identifier.Request, chain []identifier.Stage) (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.moved = chain
	o.onto()
	return "", nil
}

func stage(e *endpoint, from, to identifier.Layer) identifier.Stage {
	return identifier.Stage{
		Life:    e.Life,
		Address: e.Address,
		From:    from,
		To:      to,
	}
}

// bed is a relayer with its surroundings.
type bed struct {
	relayer *relayer.Relayer
	tickets *tickets
	orders  *orders
	route   cataloguer.Route
	engine  *cataloguer.Engine
}

func newBed(repetition cataloguer.Repetition, streams bool, endpoints ...*endpoint) *bed {
	log := logrus.New()
	log.SetOutput(io.Discard)
	service := cataloguer.Service{Name: "s"}
	b := &bed{
		tickets: &tickets{},
		orders:  &orders{onto: func() {}},
		route: cataloguer.Route{
			Name:       "r",
			Repetition: repetition,
			Streams:    streams,
			Target:     300 * time.Millisecond,
			Gap:        200 * time.Millisecond,
			Attempts:   2,
		},
	}
	v := &observer.View{
		Live:  []identifier.Instance{"i1"},
		Fleet: make(map[identifier.Service][]cataloguer.Endpoint),
	}
	for _, e := range endpoints {
		v.Fleet["s"] = append(v.Fleet["s"], e.Endpoint)
		b.tickets.chains = append(b.tickets.chains, []identifier.Stage{stage(e, 0, 4)})
	}
	if streams {
		service.Engine = &cataloguer.Engine{
			Layers: 4,
			Stride: 1,
		}
	}
	b.engine = service.Engine
	v.Site = &cataloguer.Configuration{Services: map[identifier.Service]cataloguer.Service{"s": service}}
	o := observer.New()
	o.Publish(v)
	b.relayer = &relayer.Relayer{
		Observer:  o,
		Tickets:   b.tickets,
		Exchanger: &exchanger.Exchanger{DialTimeout: time.Second},
		Codec:     codec{},
		Orders:    b.orders,
		Balancer:  &balancer.Balancer{},
		Reporter:  reporter.New(nil),
		Retries: relayer.Retries{
			Ratio: 0.2,
			Burst: 10,
		},
		Log: log,
	}
	return b
}

// serve passes one request on and returns what its caller gets.
func (b *bed) serve(ctx context.Context, patience time.Duration) (*httptest.ResponseRecorder, bool, error) {
	w := httptest.NewRecorder()
	started, err := b.relayer.Serve(ctx, w, relayer.Job{
		Request: &courier.Request{
			ID:     "r1",
			Method: http.MethodPost,
			Host:   "h",
			URI:    "/x",
		},
		Route:    &b.route,
		Service:  "s",
		Engine:   b.engine,
		Deadline: time.Now().Add(patience),
	})
	return w, started, err
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
