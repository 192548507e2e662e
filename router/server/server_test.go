package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/authenticator"
	"heatherhold.dev/router/claimer"
	"heatherhold.dev/router/forwarder"
	"heatherhold.dev/router/provider"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/reporter"
	"heatherhold.dev/router/server"
	"heatherhold.dev/router/streamer"
	"heatherhold.dev/standin/tabler"
)

// testTimeout is far longer than any step takes.
const testTimeout = 10 * time.Second

const declaration = `
[rank.urgent]
order = 0
first-token = "430ms"
between-tokens = "27ms"
guaranteed-share = 0.3
queue-limit = 1000
max-wait = "20s"
[service.drafts]
kind = "model"
version = "v1"
layers = 12
max-tokens = 256
progress = "10s"
[service.orders]
kind = "plain"
repeatable-methods = ["GET"]
progress = "10s"
[customer.council]
tier = "paying"
weight = 1.0
[customer.council.caller.desk]
key-sha256 = "%s"
rank = "urgent"
`

// noTickets grants no chain.
type noTickets struct{}

func (noTickets) Acquire(ctx context.Context, _ identifier.Service, _ *messenger.Ask) (*acquirer.Ticket, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// memoryTable is a table whose rows are only written.
type memoryTable struct {
	tabler *tabler.Tabler
}

func (m *memoryTable) Commit(_ context.Context, c messenger.Commit) ([]messenger.Row, error) {
	return m.tabler.Commit(c), nil
}

func (*memoryTable) Row(context.Context, string) (messenger.Row, error) {
	return messenger.Row{}, provider.ErrUnavailable
}

func (*memoryTable) Scan(context.Context, string, string) ([]messenger.Row, error) {
	return nil, provider.ErrUnavailable
}

// newServer returns a server with one plain service, "orders", whose endpoint is h, and a model
// service without chains, "drafts". It listens at the returned address.
func newServer(t *testing.T, h http.HandlerFunc) (*server.Server, string) {
	t.Helper()
	endpoint := httptest.NewServer(h)
	t.Cleanup(endpoint.Close)
	t.Cleanup(endpoint.CloseClientConnections)
	document, err := declarer.Parse([]declarer.File{{
		Name: "base.toml",
		Data: fmt.Appendf(nil, declaration, authenticator.Hash("k")),
	}})
	if err != nil {
		t.Fatal(err)
	}
	d, err := document.At("")
	if err != nil {
		t.Fatal(err)
	}
	pub := publisher.New()
	pub.Confirm(time.Now().Add(time.Minute))
	pub.Publish(&publisher.View{
		Declaration: d,
		Index:       authenticator.New(d, ""),
		Endpoints: map[identifier.Service][]publisher.Endpoint{"orders": {{
			Address: strings.TrimPrefix(endpoint.URL, "http://"),
		}}},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	var table tabler.Tabler
	table.Handler()
	claims := claimer.New()
	claims.Table = &memoryTable{tabler: &table}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return claims.Run(ctx) })
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	r := reporter.New(noop.NewTracerProvider().Tracer(""))
	s := &server.Server{
		Publisher: pub,
		Streamer: &streamer.Streamer{
			Tickets: noTickets{},
			Watcher: r,
			Budget:  &streamer.Budget{},
			Log:     log,
		},
		Forwarder: &forwarder.Forwarder{
			Publisher: pub,
			Claimer:   claims,
			Budget:    &streamer.Budget{},
			Log:       log,
		},
		Reporter:     r,
		Log:          log,
		BodyLimit:    1 << 20,
		BodyTimeout:  testTimeout,
		WriteTimeout: testTimeout,
	}
	listener := httptest.NewServer(s.Handler())
	t.Cleanup(listener.Close)
	t.Cleanup(listener.CloseClientConnections)
	return s, listener.Listener.Addr().String()
}

// answer is what a caller gets: the status and the body of the response, or the error.
type answer struct {
	status int
	body   string
	err    error
}

// send sends a request over a new connection, and returns the answer once there is one.
func send(t *testing.T, address, request string) <-chan answer {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, strings.Replace(request, "\r\n", "\r\nHost: h\r\nAuthorization: Bearer k\r\n", 1)); err != nil {
		t.Fatal(err)
	}
	answers := make(chan answer, 1)
	time.AfterFunc(0, func() { answers <- read(c) })
	return answers
}

func read(c net.Conn) answer {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{
		status: res.StatusCode,
		body:   string(body),
		err:    err,
	}
}

// TestBodyTimeoutCutsSlowService guards against the timeout for a request's body ending a request
// that has none, or whose body has been read, while its service still runs.
func TestBodyTimeoutCutsSlowService(t *testing.T) {
	s, address := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond)
		fmt.Fprint(w, "done")
	})
	s.BodyTimeout = 100 * time.Millisecond
	for name, request := range map[string]string{
		"no body":   "GET /services/orders/a HTTP/1.1\r\n\r\n",
		"body":      "GET /services/orders/a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab",
		"kept call": "POST /services/orders/a HTTP/1.1\r\nIdempotency-Key: x\r\nContent-Length: 2\r\n\r\nab",
	} {
		got := <-send(t, address, request)
		if got.err != nil || got.status != http.StatusOK || got.body != "done" {
			t.Errorf("%s: got %+v, want 200", name, got)
		}
	}
}

// TestRequestCutAtEndOfPlannedStop guards against connections that are closed without an answer at
// the end of a planned stop, and against a refusal of a call that may have run.
func TestRequestCutAtEndOfPlannedStop(t *testing.T) {
	var calls atomic.Int64
	s, address := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		// net/http notices that the caller has gone only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		calls.Add(1)
		<-r.Context().Done()
	})
	requests := map[string]struct {
		text   string
		status int
	}{
		"may be repeated": {
			text:   "GET /services/orders/a HTTP/1.1\r\n\r\n",
			status: http.StatusGatewayTimeout,
		},
		"may not be repeated": {
			text:   "POST /services/orders/a HTTP/1.1\r\nIdempotency-Key: x\r\nContent-Length: 2\r\n\r\nab",
			status: http.StatusBadGateway,
		},
		"waits for a chain": {
			text:   "POST /v1/completions HTTP/1.1\r\nContent-Length: 32\r\n\r\n" + `{"model":"drafts","prompt":"ab"}`,
			status: http.StatusServiceUnavailable,
		},
		"unread body": {
			text:   "POST /v1/completions HTTP/1.1\r\nContent-Length: 32\r\n\r\n{",
			status: http.StatusServiceUnavailable,
		},
	}
	answers := make(map[string]<-chan answer)
	for name, request := range requests {
		answers[name] = send(t, address, request.text)
	}
	for end := time.Now().Add(testTimeout); s.Active() < len(requests) || calls.Load() < 2; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d requests, %d calls; want %d and 2", s.Active(), calls.Load(), len(requests))
		}
	}
	s.EndActive()
	for name, request := range requests {
		if got := <-answers[name]; got.err != nil || got.status != request.status {
			t.Errorf("%s: got %+v, want a complete answer with %d", name, got, request.status)
		}
	}
}

// TestSlowBodyIsNotBadRequest guards against 400 for a body that does not arrive in time: the request is
// proper, and its caller may send it again.
func TestSlowBodyIsNotBadRequest(t *testing.T) {
	s, address := newServer(t, func(http.ResponseWriter, *http.Request) {})
	s.BodyTimeout = 100 * time.Millisecond
	for name, request := range map[string]string{
		"model": "POST /v1/completions HTTP/1.1\r\nContent-Length: 32\r\n\r\n{",
		"plain": "GET /services/orders/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\na",
	} {
		if got := <-send(t, address, request); got.err != nil || got.status != http.StatusRequestTimeout {
			t.Errorf("%s: got %+v, want 408", name, got)
		}
	}
}
