package limiter_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/receiver"
)

// codec ignores a request's headers.
type codec struct{}

func (codec) DecodeRequest(*http.Request) (*courier.Request, error) {
	return &courier.Request{ID: "q1", Received: time.Now()}, nil
}

// newRouter returns a server with a receiver that has no configuration yet, so
// that it responds 503. The configurations of setLimits declare no routes, so that
// requests within the limits get 404.
func newRouter(t *testing.T) *testServer {
	t.Helper()
	x := &receiver.Receiver{Codec: codec{}}
	s := newTestServer(t, x.ServeHTTP, cataloguer.Limits{})
	x.Log = logrus.New().WithField("part", "receiver")
	x.Log.(*logrus.Entry).Logger.SetOutput(io.Discard)
	x.Publisher = s.limiter.Publisher
	x.Publisher.Confirm(time.Now().Add(time.Hour))
	x.Publisher.Publish(&publisher.View{})
	return s
}

// requestWithHeaderSize returns a request whose header fields have the given size in
// bytes.
func requestWithHeaderSize(size int) string {
	const rest = "Host: h\r\nLong: \r\n"
	return "GET /a HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", size-len(rest)) + "\r\n\r\n"
}

// status sends a request and returns the status of the response; 0 means no response.
func status(t *testing.T, c net.Conn, request string) int {
	t.Helper()
	fmt.Fprint(c, request)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// TestCurrentHeaderLimitApplies guards against 431 due to a limit from the settings or
// an old configuration, on new and on reused connections.
func TestCurrentHeaderLimitApplies(t *testing.T) {
	s := newRouter(t)
	reused := s.dial(t)
	for _, c := range []struct {
		limit int
		size  int
		want  int
	}{
		{limit: 0, size: 40 << 10, want: 503},
		{limit: 64 << 10, size: 64 << 10, want: 404},
		{limit: 64 << 10, size: 64<<10 + 1, want: 431},
		{limit: 4 << 10, size: 4 << 10, want: 404},
		{limit: 4 << 10, size: 4<<10 + 1, want: 431},
		{limit: 32 << 10, size: 32 << 10, want: 404},
	} {
		if c.limit > 0 {
			s.setLimits(cataloguer.Limits{HeaderBytes: c.limit})
		}
		for name, conn := range map[string]net.Conn{"new": s.dial(t), "reused": reused} {
			if got := status(t, conn, requestWithHeaderSize(c.size)); got != c.want {
				t.Errorf("%s connection, limit %d, header fields of %d bytes: got status %d, want %d", name, c.limit, c.size, got, c.want)
			}
		}
	}
	s.setLimits(cataloguer.Limits{HeaderBytes: 1 << 10})
	if got, want := status(t, reused, "GET /"+strings.Repeat("a", 1<<10)+" HTTP/1.1\r\nHost: h\r\n\r\n"), 431; got != want {
		t.Errorf("long request line: got status %d, want %d", got, want)
	}
}

const (
	// shortTimeout is a timeout that the tests wait for; pastTimeout is a wait that
	// exceeds it.
	shortTimeout = 400 * time.Millisecond
	pastTimeout  = shortTimeout + shortTimeout/2
)

// TestCurrentHeaderTimeoutApplies guards against a request that is aborted by a header
// timeout that is not in force, and against one that continues after the timeout.
func TestCurrentHeaderTimeoutApplies(t *testing.T) {
	s := newRouter(t)
	const first, rest = "GET /a HTTP/1.1\r\n", "Host: h\r\n\r\n"
	send := func(between func()) int {
		c := s.dial(t)
		fmt.Fprint(c, first)
		between()
		return status(t, c, rest)
	}
	if got, want := send(func() { time.Sleep(pastTimeout) }), 503; got != want {
		t.Errorf("no configuration: got status %d, want %d", got, want)
	}
	s.setLimits(cataloguer.Limits{HeaderTimeout: shortTimeout})
	if got := send(func() { time.Sleep(pastTimeout) }); got == 404 {
		t.Errorf("lowered: got status %d, want the request to be aborted", got)
	}
	raised := func() {
		s.setLimits(cataloguer.Limits{HeaderTimeout: testTimeout})
		time.Sleep(pastTimeout)
	}
	if got, want := send(raised), 404; got != want {
		t.Errorf("raised while the header arrives: got status %d, want %d", got, want)
	}
}

// TestHeaderTimeoutRunsFromFirstByte guards against connections that are closed by the
// header timeout before the first byte of a request.
func TestHeaderTimeoutRunsFromFirstByte(t *testing.T) {
	s := newTestServer(t, func(http.ResponseWriter, *http.Request) {}, cataloguer.Limits{
		HeaderTimeout: shortTimeout,
		IdleTimeout:   testTimeout,
	})
	c := s.dial(t)
	for range 2 {
		time.Sleep(pastTimeout)
		if got, want := status(t, c, completeRequest), 200; got != want {
			t.Fatalf("got status %d, want %d", got, want)
		}
	}
}

// TestCurrentIdleTimeoutApplies guards against connections that are closed, or kept
// open, by an idle timeout that is not in force.
func TestCurrentIdleTimeoutApplies(t *testing.T) {
	s := newRouter(t)
	s.setLimits(cataloguer.Limits{IdleTimeout: shortTimeout})
	used, unused := s.dial(t), s.dial(t)
	if got, want := status(t, used, completeRequest), 404; got != want {
		t.Fatalf("got status %d, want %d", got, want)
	}
	s.setLimits(cataloguer.Limits{IdleTimeout: testTimeout})
	time.Sleep(pastTimeout)
	for name, c := range map[string]net.Conn{"used": used, "unused": unused} {
		if got, want := status(t, c, completeRequest), 404; got != want {
			t.Errorf("raised while a %s connection waits: got status %d, want %d", name, got, want)
		}
	}
	s.setLimits(cataloguer.Limits{IdleTimeout: shortTimeout})
	if got, want := status(t, used, completeRequest), 404; got != want {
		t.Errorf("lowered: got status %d, want %d", got, want)
	}
	start := time.Now()
	if n, err := used.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(start) > testTimeout/2 {
		t.Errorf("lowered: got %d bytes, error %v after %v, want the connection to be closed", n, err, time.Since(start))
	}
}

// TestShorterTimeoutsDoNotCancelRequests guards against aborting a request while it is
// served or its body arrives, because the timeouts have been shortened.
func TestShorterTimeoutsDoNotCancelRequests(t *testing.T) {
	running := make(chan struct{}, 1)
	s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		time.Sleep(pastTimeout)
		if r.Context().Err() == nil {
			io.Copy(w, r.Body)
		}
	}, cataloguer.Limits{})
	c := s.dial(t)
	for _, body := range []string{"", "abc"} {
		fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
		<-running
		s.setLimits(cataloguer.Limits{
			HeaderBytes:   1,
			HeaderTimeout: shortTimeout / 4,
			IdleTimeout:   shortTimeout,
		})
		time.Sleep(shortTimeout / 2)
		fmt.Fprint(c, body)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(res.Body)
		if err != nil || string(got) != body {
			t.Errorf("got body %q, error %v, want %q", got, err, body)
		}
	}
}

// TestSlowHeaderGets408 guards against 400 for a header that is delayed in the middle of
// a line; callers don't retry after 400.
func TestSlowHeaderGets408(t *testing.T) {
	for _, start := range []string{"GET /a HT", "GET /a HTTP/1.1\r\n", "GET /a HTTP/1.1\r\nHo"} {
		s := newRouter(t)
		s.setLimits(cataloguer.Limits{HeaderTimeout: shortTimeout / 4})
		c := s.dial(t)
		if got, want := status(t, c, start), 408; got != want {
			t.Errorf("%q: got status %d, want %d", start, got, want)
		}
		if rest, err := io.ReadAll(c); len(rest) > 0 || err != nil {
			t.Errorf("%q: got %q, error %v after the response, want EOF", start, rest, err)
		}
	}
}
