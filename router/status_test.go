package main_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestImpossibleStatusAnswered guards against a response with a status that none has, which a
// caller gets as an answer or waits behind.
func TestImpossibleStatusAnswered(t *testing.T) {
	for _, status := range []string{"000", "600"} {
		t.Run(status, func(t *testing.T) {
			impossible := func(w http.ResponseWriter, r *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 %s X\r\nX-Request-Id: %s\r\nX-Server-Stamp: i-1\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("X-Request-Id"))
				t.Cleanup(func() { c.Close() })
			}
			s := newStoreSystem(t, 100*time.Millisecond, time.Second, impossible, impossible)
			for name, request := range map[string]string{
				"order":   header("POST", "/once/1", "X-Deadline-Ms: 5000", "Content-Length: 0"),
				"look-up": header("GET", "/again/1", "X-Deadline-Ms: 5000"),
				"draft":   header("POST", "/draft/1", "X-Deadline-Ms: 5000", "X-Model: x", "X-Token-Count: 10,5", "Content-Length: 0"),
			} {
				began := time.Now()
				got := <-s.send(t, request)
				if got.status != http.StatusBadGateway || got.stamp != "" {
					t.Errorf("%s: got status %d, signature %q and error %v, want %d without one", name, got.status, got.stamp, got.err, http.StatusBadGateway)
				}
				if took, want := got.at.Sub(began), time.Second; took > want {
					t.Errorf("%s: got the answer after %v, want it within %v", name, took, want)
				}
			}
		})
	}
}
