package limiter_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"heatherhold.dev/core/cataloguer"
)

// TestUnfinishedHeaderOverLimit guards against headers that take memory far beyond the declared limit
// before they end, or whose callers lose the response.
func TestUnfinishedHeaderOverLimit(t *testing.T) {
	const start = "GET /a HTTP/1.1\r\nHost: h\r\n"
	for name, header := range map[string]string{
		"one field":    start + "Long: " + strings.Repeat("x", 64<<10),
		"many fields":  start + strings.Repeat("Long: "+strings.Repeat("x", 50)+"\r\n", 1<<10),
		"short fields": start + strings.Repeat("a:\r\n", 1<<10),
		"no line end":  strings.Repeat("x", 64<<10),
	} {
		for _, before := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, served before: %t", name, before), func(t *testing.T) {
				s := newTestServer(t, func(http.ResponseWriter, *http.Request) {}, cataloguer.Limits{HeaderBytes: 4 << 10})
				c := s.dial(t)
				if before {
					if got, want := status(t, c, completeRequest), 200; got != want {
						t.Fatalf("got status %d, want %d", got, want)
					}
				}
				if got, want := status(t, c, header), 431; got != want {
					t.Errorf("got status %d, want %d", got, want)
				}
				if rest, err := io.ReadAll(c); len(rest) > 0 || err != nil {
					t.Errorf("got %q, error %v after the response, want EOF", rest, err)
				}
				c.Close()
				waitFor(t, s.metrics, `heatherhold_requests_not_taken_total{reason="431"} 1`)
			})
		}
	}
}

// TestBodyCountsAsHeader guards against refusing a header of the declared size because a body or
// another request follows it at once.
func TestBodyCountsAsHeader(t *testing.T) {
	const limit = 4 << 10
	body := strings.Repeat("\n", 64<<10)
	s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) }, cataloguer.Limits{HeaderBytes: limit})
	c := s.dial(t)
	for range 3 {
		fields := fmt.Sprintf("Host: h\r\nContent-Length: %d\r\nLong: ", len(body))
		fields += strings.Repeat("x", limit-len(fields)-len("\r\n")) + "\r\n"
		if got, want := status(t, c, "POST /"+strings.Repeat("a", 1<<10)+" HTTP/1.1\r\n"+fields+"\r\n"+body), 200; got != want {
			t.Fatalf("got status %d, want %d", got, want)
		}
	}
}
