package main_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/driver"
	"heatherhold.dev/router/forwarder"
	"heatherhold.dev/router/provider"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/streamer"
)

// newEndlessServer starts a server that sends start and then repeats piece until
// the connection is closed. It returns the server's URL.
func newEndlessServer(t *testing.T, start, piece string) string {
	t.Helper()
	block := []byte(strings.Repeat(piece, 16<<10/len(piece)+1))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		io.WriteString(conn, start)
		for err == nil {
			_, err = conn.Write(block)
		}
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// TestEndlessHeader guards against response headers without end. A client without a
// limit of its own reads up to 10 MB of them.
func TestEndlessHeader(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, url string) error{
		"engine": func(ctx context.Context, url string) error {
			_, err := (&driver.Client{}).State(ctx, strings.TrimPrefix(url, "http://"))
			return err
		},
		"table": func(ctx context.Context, url string) error {
			c := &provider.Client{
				URL:     url,
				Timeout: 3 * time.Second,
			}
			_, err := c.Row(ctx, "k")
			return err
		},
		"plain service": func(ctx context.Context, url string) error {
			pub := publisher.New()
			pub.Publish(&publisher.View{Endpoints: map[identifier.Service][]publisher.Endpoint{
				"s": {{Address: strings.TrimPrefix(url, "http://")}},
			}})
			f := &forwarder.Forwarder{
				Publisher: pub,
				Budget:    &streamer.Budget{},
			}
			_, err := f.Forward(ctx, forwarder.Call{
				Service:        "s",
				Method:         http.MethodGet,
				Path:           "/",
				Header:         http.Header{},
				AttemptTimeout: 3 * time.Second,
				Repeatable:     true,
			})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			url := newEndlessServer(t, "HTTP/1.1 200 OK\r\nX: ", "x")
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := call(context.Background(), url)
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Error("got no error, want one")
			}
			if got, want := after.TotalAlloc-before.TotalAlloc, uint64(1<<20); got > want {
				t.Errorf("got %d bytes allocated, want at most %d", got, want)
			}
		})
	}
}

// TestEndlessObject guards against an endless response of the object store that the
// client truncates and then takes for a complete object.
func TestEndlessObject(t *testing.T) {
	c := &provider.Client{
		URL:     newEndlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", "x"),
		Timeout: 10 * time.Second,
	}
	if data, err := c.Object(context.Background(), "o"); !errors.Is(err, provider.ErrUnavailable) {
		t.Errorf("got %d bytes, error %v, want %v", len(data), err, provider.ErrUnavailable)
	}
}
