package limiter_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/reporter"
)

// testTimeout limits every wait and is far longer than any of them takes.
const testTimeout = 10 * time.Second

// logBuffer is a buffer for log output that may be read while it is written.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// testServer is a running limiter with its server and log.
type testServer struct {
	limiter *limiter.Limiter
	server  *http.Server
	address string
	log     *logBuffer
}

func newTestServer(t *testing.T, serve http.HandlerFunc, limits cataloguer.Limits) *testServer {
	t.Helper()
	s := &testServer{
		limiter: limiter.New(),
		log:     &logBuffer{},
	}
	log := logrus.New()
	log.SetOutput(s.log)
	log.SetFormatter(&logrus.JSONFormatter{})
	s.limiter.Log = log
	s.limiter.Reporter = reporter.New(nil)
	s.limiter.HeaderTimeout = testTimeout
	s.limiter.IdleTimeout = testTimeout
	s.limiter.Publisher = publisher.New()
	s.setLimits(limits)
	s.server = s.limiter.Server(serve)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	var group sync.WaitGroup
	group.Go(func() { s.server.Serve(s.limiter.Listen(l)) })
	t.Cleanup(func() {
		s.server.Close()
		group.Wait()
	})
	return s
}

// setLimits publishes a configuration with limits.
func (s *testServer) setLimits(limits cataloguer.Limits) {
	site := &cataloguer.Configuration{Limits: limits}
	site.Prepare()
	s.limiter.Publisher.Publish(&publisher.View{Site: site})
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// metrics returns the metrics whose names start with heatherhold_.
func (s *testServer) metrics() string {
	var all, own strings.Builder
	s.limiter.Reporter.Write(&all)
	for line := range strings.Lines(all.String()) {
		if strings.HasPrefix(line, "heatherhold_") {
			own.WriteString(line)
		}
	}
	return own.String()
}

// waitFor waits until the result of got contains want.
func waitFor(t *testing.T, got func() string, want string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !strings.Contains(got(), want); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %s, want %s in it", got(), want)
		}
	}
}

const completeRequest = "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n"

// requireResponse sends a complete request and requires a response with status 200, of
// which it reads only the first bytes.
func requireResponse(t *testing.T, c net.Conn) {
	t.Helper()
	fmt.Fprint(c, completeRequest)
	got := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "HTTP/1.1 200" {
		t.Fatalf("got %q, %v, want a response with status 200", got, err)
	}
}

// TestUnservedRequestIsReported guards against requests that end before a handler
// runs and are neither logged nor counted.
func TestUnservedRequestIsReported(t *testing.T) {
	long := strings.Repeat("x", 2<<20)
	for _, c := range []struct {
		name    string
		header  string
		timeout time.Duration
		close   bool
		reason  string
		line    string
	}{
		{name: "too large", header: "GET /a HTTP/1.1\r\nHost: h\r\nLong: " + long, reason: "431", line: "GET /a HTTP/1.1"},
		{name: "malformed", header: "GET /a?secret HTTP/1.1\r\nno colon\r\n\r\n", reason: "400", line: "GET /a"},
		{name: "other coding", header: "GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: other\r\n\r\n", reason: "501", line: "GET /a HTTP/1.1"},
		{name: "other expectation", header: "GET /a HTTP/1.1\r\nHost: h\r\nExpect: other\r\n\r\n", reason: "417", line: "GET /a HTTP/1.1"},
		{name: "slow", header: "GET /a HTTP/1.1\r\nHo", timeout: 100 * time.Millisecond, reason: "timeout", line: "GET /a HTTP/1.1"},
		{name: "caller closes", header: "GET /a HTTP/1.1\r\nHo", close: true, reason: "caller", line: "GET /a HTTP/1.1"},
	} {
		for _, before := range []string{"no earlier request", "after a served request", "while a request is served"} {
			t.Run(c.name+", "+before, func(t *testing.T) {
				proceed := make(chan struct{})
				s := newTestServer(t, func(http.ResponseWriter, *http.Request) { <-proceed }, cataloguer.Limits{HeaderTimeout: c.timeout})
				conn := s.dial(t)
				switch before {
				case "after a served request":
					close(proceed)
					requireResponse(t, conn)
				case "while a request is served":
					fmt.Fprint(conn, completeRequest)
					time.AfterFunc(50*time.Millisecond, func() { close(proceed) })
					time.Sleep(20 * time.Millisecond)
				}
				fmt.Fprint(conn, c.header)
				if c.close {
					conn.Close()
				}
				waitFor(t, s.log.String, `"request not taken in"`)
				for _, want := range []string{`"reason":"` + c.reason + `"`, `"line":"` + c.line + `"`, `"caller":"` + conn.LocalAddr().String() + `"`} {
					if !strings.Contains(s.log.String(), want) {
						t.Errorf("got log %s, want %s in it", s.log, want)
					}
				}
				if got, want := s.metrics(), `heatherhold_requests_not_taken_total{reason="`+c.reason+`"} 1`; !strings.Contains(got, want) {
					t.Errorf("got metrics %s, want %s in them", got, want)
				}
			})
		}
	}
}

// TestServedRequestIsNotReported guards against log lines and counts for requests that
// were served, and for connections that were closed without a request.
func TestServedRequestIsNotReported(t *testing.T) {
	s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
	}, cataloguer.Limits{IdleTimeout: 50 * time.Millisecond})
	unused := s.dial(t)
	for range 3 {
		c := s.dial(t)
		requireResponse(t, c)
		fmt.Fprint(c, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"+completeRequest)
		io.Copy(io.Discard, c)
	}
	unused.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	if got := s.log.String(); got != "" {
		t.Errorf("got log %s, want none", got)
	}
	if got := s.metrics(); strings.Contains(got, "heatherhold_requests_not_taken_total") {
		t.Errorf("got metrics %s, want no unserved request counted", got)
	}
}

// TestLogRateIsLimited guards against callers that flood the log with malformed
// requests.
func TestLogRateIsLimited(t *testing.T) {
	s := newTestServer(t, func(http.ResponseWriter, *http.Request) {}, cataloguer.Limits{})
	const requests = 300
	for range requests {
		c := s.dial(t)
		fmt.Fprint(c, "bad\r\n\r\n")
		io.Copy(io.Discard, c)
		c.Close()
	}
	waitFor(t, s.metrics, fmt.Sprintf(`heatherhold_requests_not_taken_total{reason="400"} %d`, requests))
	if got, want := strings.Count(s.log.String(), "request not taken in"), requests/2; got == 0 || got > want {
		t.Errorf("got %d log lines, want some and at most %d", got, want)
	}
}
