package receiver_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/publisher"
)

// remainingCodec gives each request a timeout, 0 for none, and sends the time that is left to endpoints.
type remainingCodec struct {
	codec
	timeout time.Duration
}

func (c remainingCodec) DecodeRequest(r *http.Request) (*courier.Request, error) {
	out, err := c.codec.DecodeRequest(r)
	out.Timeout = c.timeout
	return out, err
}

func (remainingCodec) RequestHeader(_ *courier.Request, m courier.RequestMetadata) http.Header {
	return http.Header{"Remaining": {m.Remaining.Round(time.Second).String()}}
}

// TestRouteTimeoutIgnored guards against a route's timeout without effect because it is longer than the
// default for callers that set none.
func TestRouteTimeoutIgnored(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get("Remaining"))
	}))
	defer endpoint.Close()
	for _, c := range []struct {
		name   string
		caller time.Duration
		route  time.Duration
		want   string
	}{
		{name: "neither", want: "30s"},
		{name: "long route", route: time.Minute, want: "1m0s"},
		{name: "short route", route: 5 * time.Second, want: "5s"},
		{name: "caller", caller: 50 * time.Second, want: "50s"},
		{name: "caller before route", caller: 5 * time.Second, route: time.Minute, want: "5s"},
		{name: "route before caller", caller: time.Minute, route: 50 * time.Second, want: "50s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, _ := newReceiver(nil)
			x.Codec = remainingCodec{timeout: c.caller}
			x.Proxier.Codec = remainingCodec{}
			x.Proxier.Exchanger.DialTimeout = time.Second
			site := newSite()
			site.Routes[0].Timeout = c.route
			site.Prepare()
			x.Publisher.Publish(&publisher.View{
				Site: site,
				Fleet: map[identifier.Service][]cataloguer.Endpoint{"s": {{
					EndpointIncarnation: identifier.EndpointIncarnation{
						Endpoint:    "e1",
						Incarnation: 1,
					},
					Service: "s",
					Address: strings.TrimPrefix(endpoint.URL, "http://"),
				}}},
			})
			r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example/orders/1", nil)
			r.Header.Set("Key", "k")
			w := httptest.NewRecorder()
			x.ServeHTTP(w, r)
			if got := w.Body.String(); got != c.want {
				t.Errorf("got %s left for the endpoint, want %s", got, c.want)
			}
		})
	}
}
