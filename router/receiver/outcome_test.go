package receiver_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/publisher"
)

// endLine returns the fields of the only log line that states an outcome.
func endLine(t *testing.T, logged string) map[string]any {
	t.Helper()
	var ends []map[string]any
	for line := range strings.Lines(logged) {
		fields := make(map[string]any)
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		if fields["outcome"] != nil {
			ends = append(ends, fields)
		}
	}
	if len(ends) != 1 {
		t.Fatalf("got %d lines with an outcome in %s, want 1", len(ends), logged)
	}
	return ends[0]
}

// checkFields requires that a line has the wanted fields.
func checkFields(t *testing.T, got, want map[string]any) {
	t.Helper()
	for name, value := range want {
		if got[name] != value {
			t.Errorf("%s: got %v, want %v", name, got[name], value)
		}
	}
}

// counters returns the lines of the losses among the metrics.
func counters(write func(*strings.Builder)) string {
	var text, out strings.Builder
	write(&text)
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, "heatherhold_losses_total") {
			out.WriteString(line)
		}
	}
	return strings.TrimSpace(out.String())
}

// TestRefusalOutcome requires that the line of a refused request says which callers it
// concerns, as far as that is known by then, and that the refusal is counted.
func TestRefusalOutcome(t *testing.T) {
	routed := map[string]any{"route": "orders", "service": "s", "customer": "council", "order": 0.0, "size": "none", "outcome": "refused"}
	keyless := map[string]any{"route": "orders", "service": "s", "customer": "", "order": 0.0, "size": "none", "outcome": "refused"}
	unrouted := map[string]any{"route": "", "service": "", "customer": "", "order": -1.0, "size": "none", "outcome": "refused"}
	const counted = `heatherhold_losses_total{service="s",order="0",route="orders",size="none",outcome="refused"} 1`
	const countedUnrouted = `heatherhold_losses_total{service="none",order="none",route="none",size="none",outcome="refused"} 1`
	for _, c := range []struct {
		name    string
		site    *cataloguer.Configuration
		path    string
		header  http.Header
		body    string
		want    map[string]any
		counted string
	}{
		{name: "no configuration yet", path: "/orders/1", header: http.Header{"Key": {"k"}}, want: unrouted, counted: countedUnrouted},
		{name: "no route", site: newSite(), path: "/other/", header: http.Header{"Key": {"k"}}, want: unrouted, counted: countedUnrouted},
		{name: "bad header", site: newSite(), path: "/orders/1", header: http.Header{"Bad": {"1"}}, want: unrouted, counted: countedUnrouted},
		{name: "unknown key", site: newSite(), path: "/orders/1", header: http.Header{"Key": {"x"}}, want: keyless, counted: counted},
		{name: "large body", site: newSite(), path: "/orders/1", header: http.Header{"Key": {"k"}}, body: "12345", want: routed, counted: counted},
		{name: "no endpoint", site: newSite(), path: "/orders/1", header: http.Header{"Key": {"k"}}, want: routed, counted: counted},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, logged := newReceiver(c.site)
			r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example"+c.path, strings.NewReader(c.body))
			r.Header = c.header
			x.OnEnd = x.Proxier.Reporter.CountEnd
			x.ServeHTTP(httptest.NewRecorder(), r)
			checkFields(t, endLine(t, logged.String()), c.want)
			got := counters(func(w *strings.Builder) { x.Proxier.Reporter.Write(w) })
			if got != c.counted {
				t.Errorf("got %s, want %s", got, c.counted)
			}
		})
	}
}

// TestFailureOutcome guards against a request that may have run being reported as refused,
// and against its attempts being reported as requests of their own.
func TestFailureOutcome(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer endpoint.Close()
	x, logged := newReceiver(nil)
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
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example/orders/1", nil)
	r.Header.Set("Key", "k")
	x.ServeHTTP(httptest.NewRecorder(), r)
	if want := `"attempt failed"`; !strings.Contains(logged.String(), want) {
		t.Errorf("got log %s, want %s in it", logged, want)
	}
	checkFields(t, endLine(t, logged.String()), map[string]any{"route": "orders", "customer": "council", "outcome": "failed"})
}

// TestCancelledOutcome guards against a request that its caller ended being counted as a loss.
func TestCancelledOutcome(t *testing.T) {
	x, logged := newReceiver(newSite())
	x.OnEnd = x.Proxier.Reporter.CountEnd
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h.example/orders/1", nil)
	r.Header.Set("Key", "k")
	defer func() {
		if recover() == nil {
			t.Error("got no panic, want the connection to be aborted")
		}
		checkFields(t, endLine(t, logged.String()), map[string]any{"route": "orders", "customer": "council", "outcome": "cancelled"})
		if got := counters(func(w *strings.Builder) { x.Proxier.Reporter.Write(w) }); got != "" {
			t.Errorf("got %s counted, want nothing", got)
		}
	}()
	x.ServeHTTP(httptest.NewRecorder(), r)
}
