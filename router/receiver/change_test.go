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
	"heatherhold.dev/router/publisher"
)

// RequestHeader, ParseResponse and ResponseHeader implement proxier.Codec: every
// response is signed and belongs to its request, and response headers are returned
// unchanged.
func (codec) RequestHeader(*courier.Request, courier.RequestMetadata) http.Header {
	return http.Header{}
}

func (codec) ParseResponse(*courier.Request, int, http.Header) courier.ResponseMetadata {
	return courier.ResponseMetadata{
		Matches: true,
		Signed:  true,
	}
}

func (codec) ResponseHeader(h http.Header) http.Header { return h }

// longTimeoutCodec is a codec that gives each request a timeout of a minute.
type longTimeoutCodec struct{ codec }

func (p longTimeoutCodec) DecodeRequest(r *http.Request) (*courier.Request, error) {
	out, err := p.codec.DecodeRequest(r)
	out.Timeout = time.Minute
	return out, err
}

// publishingReader is a body that publishes a new configuration while it is read.
type publishingReader struct {
	io.Reader
	publish func()
}

func (r *publishingReader) Read(p []byte) (int, error) {
	r.publish()
	return r.Reader.Read(p)
}

// TestConfigurationChangeDuringBody guards against 503 for an admitted request whose
// service is removed from the configuration while its body is read.
func TestConfigurationChangeDuringBody(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
	}))
	defer endpoint.Close()
	x, logOutput := newReceiver(nil)
	x.Codec, x.Proxier.Codec = longTimeoutCodec{}, codec{}
	x.Proxier.Exchanger.DialTimeout = time.Second
	view := publisher.View{
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
	}
	x.Publisher.Publish(&view)
	next := view
	next.Revision = 4
	next.Site = &cataloguer.Configuration{Revision: 4}
	next.Site.Prepare()
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example/orders/1", &publishingReader{
		Reader:  strings.NewReader("abc"),
		publish: func() { x.Publisher.Publish(&next) },
	})
	r.Header.Set("Key", "k")
	w := httptest.NewRecorder()
	x.ServeHTTP(w, r)
	if w.Code != http.StatusOK || w.Body.String() != "abc" {
		t.Errorf("got status %d, body %s, want 200 and abc", w.Code, w.Body)
	}
	if want := `"revision":3`; !strings.Contains(logOutput.String(), want) {
		t.Errorf("got log %s, want the revision that the request was admitted under, %s", logOutput, want)
	}
}
