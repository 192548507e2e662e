package receiver_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/balancer"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/receiver"
	"heatherhold.dev/router/relayer"
	"heatherhold.dev/router/reporter"
)

// codec reads a request without the platform's headers.
type codec struct{}

func (codec) Request(r *http.Request) (*courier.Request, error) {
	out := &courier.Request{
		ID:       "q1",
		Method:   r.Method,
		Host:     r.Host,
		URI:      r.RequestURI,
		Key:      r.Header.Get("Key"),
		Patience: 200 * time.Millisecond,
		Received: time.Now(),
	}
	if r.Header.Get("Bad") != "" {
		return out, errors.New("a header can't be read")
	}
	return out, nil
}

// newReceiver returns a receiver with one route, one customer and no endpoint,
// and its log.
func newReceiver(site *cataloguer.Configuration) (*receiver.Receiver, *bytes.Buffer) {
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetFormatter(&logrus.JSONFormatter{})
	o := observer.New()
	o.Confirm(time.Now().Add(time.Minute))
	o.Publish(&observer.View{
		Revision: 3,
		Site:     site,
		Live:     []identifier.Instance{"i1"},
	})
	return &receiver.Receiver{
		Observer: o,
		Codec:    codec{},
		Log:      log,
		Relayer: &relayer.Relayer{
			Observer:  o,
			Exchanger: &exchanger.Exchanger{},
			Balancer:  &balancer.Balancer{},
			Reporter:  reporter.New(nil),
			Log:       log,
		},
	}, &lines
}

func newSite() *cataloguer.Configuration {
	site := &cataloguer.Configuration{
		Revision: 3,
		Routes: []cataloguer.Route{{
			Name:       "orders",
			Host:       "h.example",
			Prefix:     "/orders/",
			Repetition: cataloguer.AtMostOnce,
			Attempts:   1,
			Targets: []cataloguer.Target{{
				Service: "s",
				Weight:  1,
			}},
		}},
		Customers: []cataloguer.Customer{{
			Name: "council",
			Keys: []string{"k"},
		}},
		Services: map[identifier.Service]cataloguer.Service{"s": {Name: "s"}},
		Limits:   cataloguer.Limits{BodyBytes: 4},
	}
	site.Prepare()
	return site
}

// TestRefusals requires a true answer, and a log line that explains it, for each
// request that is not passed on.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		site   *cataloguer.Configuration
		path   string
		header http.Header
		body   string
		status int
		kind   string
	}{
		{name: "no configuration yet", path: "/orders/1", header: http.Header{"Key": {"k"}}, status: 503, kind: "stale-configuration"},
		{name: "no route", site: newSite(), path: "/other/", header: http.Header{"Key": {"k"}}, status: 404, kind: "not-found"},
		{name: "unknown key", site: newSite(), path: "/orders/1", header: http.Header{"Key": {"x"}}, status: 401, kind: "unauthenticated"},
		{name: "bad header", site: newSite(), path: "/orders/1", header: http.Header{"Bad": {"1"}}, status: 400, kind: "bad-request"},
		{name: "large body", site: newSite(), path: "/orders/1", header: http.Header{"Key": {"k"}}, body: "12345", status: 413, kind: "too-large"},
		{name: "no endpoint", site: newSite(), path: "/orders/1", header: http.Header{"Key": {"k"}}, status: 503, kind: "no-chain"},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, lines := newReceiver(c.site)
			r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example"+c.path, strings.NewReader(c.body))
			r.Header = c.header
			w := httptest.NewRecorder()
			x.ServeHTTP(w, r)
			if w.Code != c.status {
				t.Errorf("got status %d, want %d", w.Code, c.status)
			}
			if c.status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
				t.Error("got no time to come back at, want one")
			}
			for _, want := range []string{`"request not served"`, `"kind":"` + c.kind + `"`, `"request":"q1"`, `"revision":3`} {
				if !strings.Contains(lines.String(), want) {
					t.Errorf("got log %s, want %s in it", lines, want)
				}
			}
		})
	}
}

// TestCallerLeaves requires that a caller who leaves is told apart from a failure.
func TestCallerLeaves(t *testing.T) {
	x, lines := newReceiver(newSite())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h.example/orders/1", nil)
	r.Header.Set("Key", "k")
	defer func() {
		if got, _ := recover().(error); !errors.Is(got, http.ErrAbortHandler) {
			t.Errorf("got panic %v, want the connection to be broken off", got)
		}
		if !strings.Contains(lines.String(), "caller went away") {
			t.Errorf("got log %s, want the caller who left", lines)
		}
	}()
	x.ServeHTTP(httptest.NewRecorder(), r)
}

// TestReady requires that only an instance which may serve says that it is ready.
func TestReady(t *testing.T) {
	ready := func(x *receiver.Receiver) int {
		w := httptest.NewRecorder()
		x.Ready(w, nil)
		return w.Code
	}
	x, _ := newReceiver(nil)
	if got, want := ready(x), 503; got != want {
		t.Errorf("without configuration: got %d, want %d", got, want)
	}
	x, _ = newReceiver(newSite())
	if got, want := ready(x), 200; got != want {
		t.Errorf("with one: got %d, want %d", got, want)
	}
	x.Observer.Confirm(time.Now().Add(-time.Second))
	if got, want := ready(x), 503; got != want {
		t.Errorf("after the time to decide: got %d, want %d", got, want)
	}
}

// TestRequestTakenLateInStop guards against a request that is taken when a planned
// stop no longer has the time to finish it.
func TestRequestTakenLateInStop(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("the endpoint was asked, want the request to be refused")
	}))
	defer endpoint.Close()
	x, lines := newReceiver(nil)
	x.Relayer.Codec = codec{}
	x.Observer.Publish(&observer.View{
		Revision: 3,
		Site:     newSite(),
		Fleet: map[identifier.Service][]cataloguer.Endpoint{"s": {{
			Life: identifier.Life{
				Endpoint:    "e1",
				Incarnation: 1,
			},
			Service: "s",
			Address: strings.TrimPrefix(endpoint.URL, "http://"),
		}}},
	})
	x.Relayer.Exchanger.DialTimeout = time.Second
	x.Observer.Stop()
	x.Close()
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example/orders/1", nil)
	r.Header.Set("Key", "k")
	w := httptest.NewRecorder()
	x.ServeHTTP(w, r)
	if got, want := w.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got, want := w.Header().Get("Connection"), "close"; got != want {
		t.Errorf("Connection: got %q, want %q", got, want)
	}
	if want := `"kind":"stopping"`; !strings.Contains(lines.String(), want) {
		t.Errorf("got log %s, want %s in it", lines, want)
	}
}
