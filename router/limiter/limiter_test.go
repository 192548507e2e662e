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
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/reporter"
)

// patience bounds every wait; it is far above what a wait takes.
const patience = 10 * time.Second

// buffer is a log that may be read while it is written.
type buffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// bed is a limiter that serves.
type bed struct {
	limiter *limiter.Limiter
	server  *http.Server
	address string
	log     *buffer
}

func newBed(t *testing.T, serve http.HandlerFunc, limits cataloguer.Limits) *bed {
	t.Helper()
	b := &bed{
		limiter: limiter.New(),
		log:     &buffer{},
	}
	log := logrus.New()
	log.SetOutput(b.log)
	log.SetFormatter(&logrus.JSONFormatter{})
	b.limiter.Log = log
	b.limiter.Reporter = reporter.New(nil)
	b.limiter.HeaderTimeout = patience
	b.limiter.IdleTimeout = patience
	b.limiter.Observer = observer.New()
	b.declare(limits)
	b.server = b.limiter.Server(serve)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = l.Addr().String()
	var group sync.WaitGroup
	group.Go(func() { b.server.Serve(b.limiter.Listen(l)) })
	t.Cleanup(func() {
		b.server.Close()
		group.Wait()
	})
	return b
}

// declare puts limits in force.
func (b *bed) declare(limits cataloguer.Limits) {
	site := &cataloguer.Configuration{Limits: limits}
	site.Prepare()
	b.limiter.Observer.Publish(&observer.View{Site: site})
}

func (b *bed) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c
}

// metrics returns the router's own metrics.
func (b *bed) metrics() string {
	var all, own strings.Builder
	b.limiter.Reporter.Write(&all)
	for line := range strings.Lines(all.String()) {
		if strings.HasPrefix(line, "heatherhold_") {
			own.WriteString(line)
		}
	}
	return own.String()
}

// eventually waits until got returns a text with want in it.
func eventually(t *testing.T, got func() string, want string) {
	t.Helper()
	for end := time.Now().Add(patience); !strings.Contains(got(), want); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %s, want %s in it", got(), want)
		}
	}
}

const whole = "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n"

// ask sends a whole request and reads the answer's first bytes.
func ask(t *testing.T, c net.Conn) {
	t.Helper()
	fmt.Fprint(c, whole)
	got := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "HTTP/1.1 200" {
		t.Fatalf("got %q, %v, want an answer", got, err)
	}
}

// TestNotTakenIsTold guards against requests that end before a handler runs
// without a trace.
func TestNotTakenIsTold(t *testing.T) {
	long := strings.Repeat("x", 2<<20)
	for _, c := range []struct {
		name    string
		head    string
		timeout time.Duration
		close   bool
		reason  string
		line    string
	}{
		{name: "too large", head: "GET /a HTTP/1.1\r\nHost: h\r\nLong: " + long, reason: "431", line: "GET /a HTTP/1.1"},
		{name: "malformed", head: "GET /a?secret HTTP/1.1\r\nno colon\r\n\r\n", reason: "400", line: "GET /a"},
		{name: "other coding", head: "GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: other\r\n\r\n", reason: "501", line: "GET /a HTTP/1.1"},
		{name: "other expectation", head: "GET /a HTTP/1.1\r\nHost: h\r\nExpect: other\r\n\r\n", reason: "417", line: "GET /a HTTP/1.1"},
		{name: "slow", head: "GET /a HTTP/1.1\r\nHo", timeout: 100 * time.Millisecond, reason: "timeout", line: "GET /a HTTP/1.1"},
		{name: "caller closes", head: "GET /a HTTP/1.1\r\nHo", close: true, reason: "caller", line: "GET /a HTTP/1.1"},
	} {
		for _, before := range []string{"", "served", "being served"} {
			t.Run(c.name+", another "+before, func(t *testing.T) {
				sent := make(chan struct{})
				b := newBed(t, func(http.ResponseWriter, *http.Request) { <-sent }, cataloguer.Limits{HeaderTimeout: c.timeout})
				conn := b.dial(t)
				switch before {
				case "served":
					close(sent)
					ask(t, conn)
				case "being served":
					fmt.Fprint(conn, whole)
					time.AfterFunc(50*time.Millisecond, func() { close(sent) })
					time.Sleep(20 * time.Millisecond)
				}
				fmt.Fprint(conn, c.head)
				if c.close {
					conn.Close()
				}
				eventually(t, b.log.String, `"request not taken in"`)
				for _, want := range []string{`"reason":"` + c.reason + `"`, `"line":"` + c.line + `"`, `"caller":"` + conn.LocalAddr().String() + `"`} {
					if !strings.Contains(b.log.String(), want) {
						t.Errorf("got log %s, want %s in it", b.log, want)
					}
				}
				if got, want := b.metrics(), `heatherhold_requests_not_taken_total{reason="`+c.reason+`"} 1`; !strings.Contains(got, want) {
					t.Errorf("got metrics %s, want %s in them", got, want)
				}
			})
		}
	}
}

// TestServedIsNotTold guards against lines and counts for requests that were
// served, and for connections that were closed unused.
func TestServedIsNotTold(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
	}, cataloguer.Limits{IdleTimeout: 50 * time.Millisecond})
	unused := b.dial(t)
	for range 3 {
		c := b.dial(t)
		ask(t, c)
		fmt.Fprint(c, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"+whole)
		io.Copy(io.Discard, c)
	}
	unused.Close()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := b.server.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	if got := b.log.String(); got != "" {
		t.Errorf("got log %s, want none", got)
	}
	if got := b.metrics(); strings.Contains(got, "heatherhold_requests_not_taken_total") {
		t.Errorf("got metrics %s, want no request that was not taken in", got)
	}
}

// TestLinesAreBounded guards against a caller that fills the log.
func TestLinesAreBounded(t *testing.T) {
	b := newBed(t, func(http.ResponseWriter, *http.Request) {}, cataloguer.Limits{})
	const requests = 300
	for range requests {
		c := b.dial(t)
		fmt.Fprint(c, "bad\r\n\r\n")
		io.Copy(io.Discard, c)
		c.Close()
	}
	eventually(t, b.metrics, fmt.Sprintf(`heatherhold_requests_not_taken_total{reason="400"} %d`, requests))
	if got, want := strings.Count(b.log.String(), "request not taken in"), requests/2; got == 0 || got > want {
		t.Errorf("got %d lines, want some and at most %d", got, want)
	}
}
