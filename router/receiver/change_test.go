package receiver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/observer"
)

// Header, Answer and Returned pass headers on as they are.
func (codec) Header(*courier.Request, courier.Send) http.Header { return http.Header{} }

func (codec) Answer(*courier.Request, int, http.Header) courier.Answer {
	return courier.Answer{
		Mine:    true,
		Stamped: true,
	}
}

func (codec) Returned(h http.Header) http.Header { return h }

// patient reads requests of callers who wait for long.
type patient struct{ codec }

func (p patient) Request(r *http.Request) (*courier.Request, error) {
	out, err := p.codec.Request(r)
	out.Patience = time.Minute
	return out, err
}

// changing is a body that has a configuration come into force while it is read.
type changing struct {
	io.Reader
	change func()
}

func (c *changing) Read(p []byte) (int, error) {
	c.change()
	return c.Reader.Read(p)
}

// TestAdmittedRequestOutlivesItsConfiguration guards against 503 for a request
// whose service is declared no longer once its body was read.
func TestAdmittedRequestOutlivesItsConfiguration(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
	}))
	defer endpoint.Close()
	x, lines := newReceiver(nil)
	x.Codec, x.Relayer.Codec = patient{}, codec{}
	x.Relayer.Exchanger.DialTimeout = time.Second
	view := observer.View{
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
	}
	x.Observer.Publish(&view)
	next := view
	next.Revision = 4
	next.Site = &cataloguer.Configuration{Revision: 4}
	next.Site.Prepare()
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example/orders/1", &changing{
		Reader: strings.NewReader("abc"),
		change: func() { x.Observer.Publish(&next) },
	})
	r.Header.Set("Key", "k")
	w := httptest.NewRecorder()
	x.ServeHTTP(w, r)
	if w.Code != http.StatusOK || w.Body.String() != "abc" {
		t.Errorf("got status %d, body %s, want 200 and abc", w.Code, w.Body)
	}
	if want := `"revision":3`; !strings.Contains(lines.String(), want) {
		t.Errorf("got log %s, want the revision that decided, %s", lines, want)
	}
}
