package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/forwarder"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/streamer"
)

// serveBytes answers each connection's first request with the bytes that next returns, and
// closes it.
func serveBytes(t *testing.T, next func() string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			// What the service reads of the request does not matter.
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, next())
			c.Close()
		}
	})
	t.Cleanup(func() {
		l.Close()
		group.Wait()
	})
	return l.Addr().String()
}

// newForwarder returns a forwarder to a service with one endpoint.
func newForwarder(address string) *forwarder.Forwarder {
	pub := publisher.New()
	pub.Publish(&publisher.View{Endpoints: map[identifier.Service][]publisher.Endpoint{"s": {{Address: address}}}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &forwarder.Forwarder{
		Publisher: pub,
		Budget:    &streamer.Budget{},
		Log:       log,
	}
}

// TestCutResponseLooksComplete cuts a service's response at every byte. It guards against a
// cut one that a caller of the project's own interface gets as a whole one.
func TestCutResponseLooksComplete(t *testing.T) {
	for name, response := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ngood",
		"chunks": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var end atomic.Int64
			address := serveBytes(t, func() string { return response[:end.Load()] })
			f := newForwarder(address)
			for n := range len(response) {
				end.Store(int64(n))
				got, err := f.Forward(context.Background(), forwarder.Call{
					Request:        identifier.Request(fmt.Sprint(n)),
					Service:        "s",
					Method:         http.MethodGet,
					Path:           "/x",
					Header:         http.Header{},
					AttemptTimeout: 2 * time.Second,
					Repeatable:     true,
				})
				if err == nil {
					t.Errorf("cut after byte %d of %d: got status %d and body %q, want an error", n, len(response), got.Status, got.Body)
				}
			}
		})
	}
}

// TestResetDuringUploadForwarded guards against taking what came of an answer without a length before its
// connection was reset for the whole one, because the call was still being written.
func TestResetDuringUploadForwarded(t *testing.T) {
	address := serveBytes(t, func() string { return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart of the answer" })
	f := newForwarder(address)
	body := bytes.Repeat([]byte("x"), 16<<20)
	for n := range 20 {
		got, err := f.Forward(context.Background(), forwarder.Call{
			Request:        identifier.Request(fmt.Sprint(n)),
			Service:        "s",
			Method:         http.MethodPost,
			Path:           "/x",
			Header:         http.Header{},
			Body:           body,
			AttemptTimeout: 2 * time.Second,
			Repeatable:     true,
		})
		if err == nil {
			t.Fatalf("got status %d and body %q, want an error", got.Status, got.Body)
		}
	}
}
