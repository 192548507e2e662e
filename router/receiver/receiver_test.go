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
	"heatherhold.dev/router/proxier"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/quarantiner"
	"heatherhold.dev/router/receiver"
	"heatherhold.dev/router/reporter"
)

// codec parses a request without the platform's headers.
type codec struct{}

func (codec) DecodeRequest(r *http.Request) (*courier.Request, error) {
	out := &courier.Request{
		ID:       "q1",
		Method:   r.Method,
		Host:     r.Host,
		URI:      r.RequestURI,
		Key:      r.Header.Get("Key"),
		Timeout:  200 * time.Millisecond,
		Received: time.Now(),
	}
	if r.Header.Get("Bad") != "" {
		return out, errors.New("malformed header")
	}
	return out, nil
}

// newReceiver returns a receiver for site without endpoints, and the buffer that
// its log is written to.
func newReceiver(site *cataloguer.Configuration) (*receiver.Receiver, *bytes.Buffer) {
	var logOutput bytes.Buffer
	log := logrus.New()
	log.SetOutput(&logOutput)
	log.SetFormatter(&logrus.JSONFormatter{})
	p := publisher.New()
	p.Confirm(time.Now().Add(time.Minute))
	p.Publish(&publisher.View{
		Revision: 3,
		Site:     site,
		Live:     []identifier.Instance{"i1"},
		Eligible: []identifier.Instance{"i1"},
	})
	return &receiver.Receiver{
		Publisher: p,
		Codec:     codec{},
		Log:       log,
		Proxier: &proxier.Proxier{
			Publisher:   p,
			Exchanger:   &exchanger.Exchanger{},
			Balancer:    &balancer.Balancer{},
			Reporter:    reporter.New(nil),
			Quarantiner: &quarantiner.Quarantiner{Log: log},
			Log:         log,
		},
	}, &logOutput
}

// newSite returns a configuration with one route, one customer and one service.
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

// TestRefusals requires the right status, and a log line with the reason, for each
// request that is not forwarded.
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
			x, logOutput := newReceiver(c.site)
			r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example"+c.path, strings.NewReader(c.body))
			r.Header = c.header
			w := httptest.NewRecorder()
			x.ServeHTTP(w, r)
			if w.Code != c.status {
				t.Errorf("got status %d, want %d", w.Code, c.status)
			}
			if c.status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
				t.Error("got no Retry-After header, want one")
			}
			for _, want := range []string{`"request not served"`, `"kind":"` + c.kind + `"`, `"request":"q1"`, `"revision":3`} {
				if !strings.Contains(logOutput.String(), want) {
					t.Errorf("got log %s, want %s in it", logOutput, want)
				}
			}
		})
	}
}

// TestCallerDisconnects requires that a disconnected caller is not logged as a
// failure.
func TestCallerDisconnects(t *testing.T) {
	x, logOutput := newReceiver(newSite())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h.example/orders/1", nil)
	r.Header.Set("Key", "k")
	defer func() {
		if got, _ := recover().(error); !errors.Is(got, http.ErrAbortHandler) {
			t.Errorf("got panic %v, want the connection to be aborted", got)
		}
		if !strings.Contains(logOutput.String(), "caller went away") {
			t.Errorf("got log %s, want \"caller went away\" in it", logOutput)
		}
	}()
	x.ServeHTTP(httptest.NewRecorder(), r)
}

// TestReady requires that an instance is ready only while its configuration is
// confirmed.
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
		t.Errorf("with configuration: got %d, want %d", got, want)
	}
	x.Publisher.Confirm(time.Now().Add(-time.Second))
	if got, want := ready(x), 503; got != want {
		t.Errorf("after the confirmation expired: got %d, want %d", got, want)
	}
}

// TestRequestRefusedLateInShutdown guards against accepting a request when a planned
// stop has too little time left to finish it.
func TestRequestRefusedLateInShutdown(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("the endpoint got the request, want it to be refused")
	}))
	defer endpoint.Close()
	x, logOutput := newReceiver(nil)
	x.Proxier.Codec = codec{}
	x.Publisher.Publish(&publisher.View{
		Revision: 3,
		Site:     newSite(),
		Fleet: map[identifier.Service][]cataloguer.Endpoint{"s": {{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    "e1",
				Incarnation: 1,
			},
			Service: "s",
			Address: strings.TrimPrefix(endpoint.URL, "http://"),
		}}},
	})
	x.Proxier.Exchanger.DialTimeout = time.Second
	x.Publisher.Stop()
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
	if want := `"kind":"stopping"`; !strings.Contains(logOutput.String(), want) {
		t.Errorf("got log %s, want %s in it", logOutput, want)
	}
}
