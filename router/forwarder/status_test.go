package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"heatherhold.dev/router/forwarder"
)

// TestImpossibleStatusForwarded guards against a response with a status that none has, which a
// caller of the project's own interface gets as an answer.
func TestImpossibleStatusForwarded(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			address := serveBytes(t, func() string { return fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok", status) })
			f := newForwarder(address)
			got, err := f.Forward(context.Background(), forwarder.Call{
				Request:        "r1",
				Service:        "s",
				Method:         http.MethodGet,
				Path:           "/x",
				Header:         http.Header{},
				AttemptTimeout: time.Second,
				Repeatable:     true,
			})
			if err == nil {
				t.Errorf("got status %d and body %q, want an error", got.Status, got.Body)
			}
		})
	}
}
