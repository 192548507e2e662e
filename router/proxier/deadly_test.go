package proxier_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/proxier"
	"heatherhold.dev/router/quarantiner"
)

const (
	// maxLostToRequest is how many endpoints may end under one request.
	maxLostToRequest = 3
	// deadlyBody is the body of the request under which endpoints end, and deadlyPath the path of another.
	deadlyBody = "deadly"
	deadlyPath = "/deadly"
)

// mortal is an endpoint that ends, with its listener and all its connections, when it
// begins to run the deadly request.
type mortal struct {
	cataloguer.Endpoint
	// delay, if set, is how long before its end it closes the connection.
	delay time.Duration
	// ended is set once it has.
	ended atomic.Bool
}

// newMortal returns an endpoint that answers a sound request with answer. Before it ends it
// sends header.
func newMortal(t *testing.T, name, header, answer string) *mortal {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &mortal{
		Endpoint: cataloguer.Endpoint{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    identifier.Endpoint(name),
				Incarnation: 1,
			},
			Service: "s",
			Address: l.Addr().String(),
		},
	}
	acceptConns(t, l, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		if string(body) == deadlyBody || r.URL.Path == deadlyPath {
			io.WriteString(c, header)
			if m.delay > 0 {
				c.Close()
				time.Sleep(m.delay)
			}
			m.ended.Store(true)
			l.Close()
			return
		}
		io.WriteString(c, answer)
	})
	return m
}

// countEnded returns how many of the endpoints have ended.
func countEnded(endpoints []*mortal) int {
	n := 0
	for _, m := range endpoints {
		if m.ended.Load() {
			n++
		}
	}
	return n
}

// serveBody forwards one request with the given body.
func serveBody(f *fixture, body string) error {
	w := httptest.NewRecorder()
	_, err := f.proxier.Serve(context.Background(), w, proxier.Job{
		Request: &courier.Request{
			ID:       "r1",
			Method:   http.MethodPost,
			Host:     "h",
			URI:      "/x",
			Body:     []byte(body),
			Received: time.Now(),
		},
		Route:    &f.route,
		Service:  "s",
		Engine:   f.engine,
		Deadline: time.Now().Add(2 * time.Second),
	})
	return err
}

// newMortals returns a proxier for a plain service with mortal endpoints.
func newMortals(t *testing.T, delay time.Duration) (*fixture, []*mortal) {
	t.Helper()
	f := newFixture(cataloguer.Idempotent, false)
	var endpoints []*mortal
	view := *f.proxier.Publisher.View()
	view.Fleet = make(map[identifier.Service][]cataloguer.Endpoint)
	for _, name := range strings.Split("abcdefghijklmnop", "") {
		m := newMortal(t, name, "", "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
		m.delay = delay
		endpoints = append(endpoints, m)
		view.Fleet["s"] = append(view.Fleet["s"], m.Endpoint)
	}
	f.proxier.Publisher.Publish(&view)
	return f, endpoints
}

// TestPlainRequestSentOnAfterEndpointsEnded guards against sending one request to endpoint
// after endpoint of a plain service, although each of them ends.
func TestPlainRequestSentOnAfterEndpointsEnded(t *testing.T) {
	f, endpoints := newMortals(t, 0)
	for range 12 {
		_ = serveBody(f, deadlyBody)
		if err := serveBody(f, "sound"); err != nil {
			t.Errorf("got error %v for a sound request, want none", err)
		}
	}
	if got := countEnded(endpoints); got == 0 || got > maxLostToRequest {
		t.Errorf("got %d endpoints ended under one request, want 1 to %d", got, maxLostToRequest)
	}
}

// TestEndpointsEndedAfterLostConnection guards against sending one request to endpoint after
// endpoint because each of them closes the connection first and ends a little later.
func TestEndpointsEndedAfterLostConnection(t *testing.T) {
	f, endpoints := newMortals(t, 200*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.proxier.Watch(ctx) })
	for range 6 {
		_ = serveBody(f, deadlyBody)
		time.Sleep(700 * time.Millisecond)
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if got := countEnded(endpoints); got == 0 || got > maxLostToRequest {
		t.Errorf("got %d endpoints ended under one request, want 1 to %d", got, maxLostToRequest)
	}
}

// TestStreamSentOnAfterEndpointsEnded guards against sending one request, which shares no
// part of its prompt, to endpoint after endpoint of a model, although each of them ends.
func TestStreamSentOnAfterEndpointsEnded(t *testing.T) {
	f, endpoints := newMortalModel(t, streamHeader)
	for range 12 {
		_ = serveBody(f, deadlyBody)
		if err := serveBody(f, "sound"); err != nil {
			t.Errorf("got error %v for a sound request, want none", err)
		}
	}
	if got := countEnded(endpoints); got == 0 || got > maxLostToRequest {
		t.Errorf("got %d endpoints ended under one request, want 1 to %d", got, maxLostToRequest)
	}
}

// TestSoundRequestRefusedAfterSilence guards against refusing a request because endpoints fell
// silent while they ran it, although they go on to take connections.
func TestSoundRequestRefusedAfterSilence(t *testing.T) {
	f := newFixture(cataloguer.AtMostOnce, true)
	for _, name := range []string{"a", "b", "c"} {
		silent := newEndpoint(t, name, func(_ int, w io.Writer) {
			io.WriteString(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		})
		f.tickets.chains = [][]identifier.Stage{{stage(silent, 0, 4)}}
		f.orders.unresponsive = silent.Address
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return f.proxier.Watch(ctx) })
		if err := serveBody(f, "sound"); err == nil {
			t.Errorf("%s: got no error from a silent endpoint", name)
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}
	sound := newEndpoint(t, "d", streamEvents(2, true))
	f.tickets.chains = [][]identifier.Stage{{stage(sound, 0, 4)}}
	start := time.Now()
	if err := serveBody(f, "sound"); err != nil {
		t.Errorf("got error %v %v after three silent endpoints, want none", err, time.Since(start))
	}
	for key := range f.proxier.Quarantiner.Verdicts(time.Now().Add(time.Second)) {
		t.Errorf("got a verdict on %s, want none", key)
	}
}

// TestEndpointEndedAfterCallerLeft guards against forgetting the crash of an endpoint because
// the caller left just before it.
func TestEndpointEndedAfterCallerLeft(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	f := newFixture(cataloguer.Resumable, true)
	watch, stopWatch := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.proxier.Watch(watch) })
	for _, name := range []string{"a", "b", "c"} {
		ctx, leave := context.WithCancel(context.Background())
		var m *endpoint
		m = newEndpoint(t, name, func(_ int, w io.Writer) {
			io.WriteString(w, header)
			time.Sleep(20 * time.Millisecond)
			leave()
			time.Sleep(20 * time.Millisecond)
			m.stop()
		})
		f.tickets.chains = [][]identifier.Stage{{stage(m, 0, 4)}}
		if _, _, err := f.serve(ctx, time.Second); err == nil {
			t.Errorf("%s: got no error after the caller left", name)
		}
		time.Sleep(700 * time.Millisecond)
	}
	stopWatch()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if got := f.proxier.Quarantiner.Count(time.Now().Add(time.Second), quarantiner.WholeRequest, true); got != 1 {
		t.Errorf("got %d requests condemned after three crashes, want 1", got)
	}
}
