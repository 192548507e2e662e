package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/router/exchanger"
)

// endpoint is a fake endpoint that works on raw bytes.
type endpoint struct {
	address string
	conns   atomic.Int64
}

// newEndpoint starts an endpoint that calls serve for each connection; n is the
// connection's number, from 1.
func newEndpoint(t *testing.T, serve func(n int64, c net.Conn, r *bufio.Reader)) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{address: l.Addr().String()}
	var group errgroup.Group
	ctx, cancel := context.WithCancel(context.Background())
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			n := e.conns.Add(1)
			context.AfterFunc(ctx, func() { c.Close() })
			group.Go(func() error {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
				return nil
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		cancel()
		group.Wait()
	})
	return e
}

// readRequest reads one request and returns its id, or an empty string at the end of
// the connection.
func readRequest(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return ""
	}
	return req.Header.Get("Id")
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + twoDigits(len(body)) + "\r\n\r\n" + body
}

// twoDigits formats a number below 100 with two digits.
func twoDigits(n int) string {
	return string(rune('0'+n/10%10)) + string(rune('0'+n%10))
}

func newRequest(e *endpoint, id string) exchanger.Request {
	return exchanger.Request{
		Address: e.address,
		Method:  http.MethodGet,
		Host:    "h",
		URI:     "/x",
		Header:  http.Header{"Id": {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

func newExchanger() *exchanger.Exchanger {
	return &exchanger.Exchanger{DialTimeout: time.Second}
}

// get makes one exchange and returns the body, or the error of Open or of reading the
// body.
func get(t *testing.T, x *exchanger.Exchanger, req exchanger.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	res, err := x.Open(ctx, req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(res)
	if err != nil {
		res.Discard()
		return string(body), err
	}
	res.Close(time.Minute)
	return string(body), nil
}

// TestReuse requires that a connection is reused for many exchanges.
func TestReuse(t *testing.T) {
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			io.WriteString(c, response(id, "body "+id))
		}
	})
	x := newExchanger()
	for _, id := range []string{"a", "b", "c"} {
		if got, err := get(t, x, newRequest(e, id)); err != nil || got != "body "+id {
			t.Errorf("got %q, %v, want %q", got, err, "body "+id)
		}
	}
	if got := e.conns.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
	x.CloseIdle(e.address)
}

// TestRequestNeverResent requires that a request that an endpoint has read is not
// sent again, even if it is a GET on a reused connection.
func TestRequestNeverResent(t *testing.T) {
	var requests atomic.Int64
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			if requests.Add(1) == 2 {
				return
			}
			io.WriteString(c, response(id, "x"))
		}
	})
	x := newExchanger()
	if _, err := get(t, x, newRequest(e, "a")); err != nil {
		t.Fatal(err)
	}
	if _, err := get(t, x, newRequest(e, "b")); !errors.Is(err, exchanger.ErrLost) {
		t.Errorf("got error %v, want %v", err, exchanger.ErrLost)
	}
	if got := requests.Load(); got != 2 {
		t.Errorf("the endpoint got %d requests, want 2", got)
	}
}

// TestIdleConnectionClosedByEndpoint requires that an idle connection that the
// endpoint has closed is detected before a request is sent on it.
func TestIdleConnectionClosedByEndpoint(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		io.WriteString(c, response(readRequest(r), "x"))
		c.Close()
		closed <- struct{}{}
	})
	x := newExchanger()
	for _, id := range []string{"a", "b"} {
		if got, err := get(t, x, newRequest(e, id)); err != nil || got != "x" {
			t.Errorf("got %q, %v, want %q", got, err, "x")
		}
		<-closed
		time.Sleep(20 * time.Millisecond)
	}
}

// TestResponseToOtherRequest requires that a late response to another request is
// skipped, and that its connection is not reused.
func TestResponseToOtherRequest(t *testing.T) {
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			io.WriteString(c, response("stray", "not yours")+response(id, "yours"))
		}
	})
	x := newExchanger()
	for range 2 {
		if got, err := get(t, x, newRequest(e, "a")); err != nil || got != "yours" {
			t.Errorf("got %q, %v, want %q", got, err, "yours")
		}
	}
	if got := e.conns.Load(); got != 2 {
		t.Errorf("got %d connections, want 2: a connection with stray responses must not be reused", got)
	}
}

// TestDataAfterResponse requires that data after a complete response is never passed
// to the caller.
func TestDataAfterResponse(t *testing.T) {
	for name, extra := range map[string]string{
		"answer": response("a", "again"),
		"binary": "\x00\x01 noise",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				for id := readRequest(r); id != ""; id = readRequest(r) {
					io.WriteString(c, response(id, "body")+extra)
				}
			})
			x := newExchanger()
			for _, id := range []string{"a", "b", "c"} {
				if got, err := get(t, x, newRequest(e, id)); err != nil || got != "body" {
					t.Errorf("%s: got %q, %v, want %q", id, got, err, "body")
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// TestEarlyResponse requires that a connection is not reused if the endpoint responded
// before it had read the whole request body.
func TestEarlyResponse(t *testing.T) {
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, response(req.Header.Get("Id"), "early"))
		time.Sleep(50 * time.Millisecond)
		n, _ := io.Copy(io.Discard, req.Body)
		if readRequest(r) != "" {
			t.Errorf("got another request on the connection after %d bytes of the body", n)
		}
	})
	x := newExchanger()
	req := newRequest(e, "a")
	req.Method = http.MethodPost
	req.Body = []byte(strings.Repeat("x", 8<<20))
	if got, err := get(t, x, req); err != nil || got != "early" {
		t.Errorf("got %q, %v, want %q", got, err, "early")
	}
	if got, err := get(t, x, newRequest(e, "b")); err != nil || got != "early" {
		t.Errorf("got %q, %v, want %q", got, err, "early")
	}
}

// TestBodyEnds requires that only a complete body ends without an error.
func TestBodyEnds(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\nId: a\r\n"
	for name, test := range map[string]struct {
		bytes    string
		reset    bool
		complete bool
	}{
		"length":             {bytes: header + "Content-Length: 4\r\n\r\nbody", complete: true},
		"length, cut":        {bytes: header + "Content-Length: 9\r\n\r\nbody"},
		"length below 0":     {bytes: header + "Content-Length: -2\r\n\r\nbody"},
		"chunks":             {bytes: header + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", complete: true},
		"chunks, cut":        {bytes: header + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
		"chunks, no number":  {bytes: header + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n"},
		"until close":        {bytes: header + "\r\nbody", complete: true},
		"until close, reset": {bytes: header + "\r\nbody", reset: true},
		"no answer":          {bytes: "\x16\x03\x01"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				io.WriteString(c, test.bytes)
				if test.reset {
					time.Sleep(30 * time.Millisecond)
					c.(*net.TCPConn).SetLinger(0)
				}
			})
			body, err := get(t, newExchanger(), newRequest(e, "a"))
			if (err == nil) != test.complete {
				t.Errorf("got error %v, want complete %v", err, test.complete)
			}
			if test.complete && body != "body" {
				t.Errorf("got %q, want %q", body, "body")
			}
		})
	}
}

// TestRedirect requires that a redirect is returned like any other response, not
// followed.
func TestRedirect(t *testing.T) {
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			io.WriteString(c, "HTTP/1.1 302 Found\r\nLocation: /y\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	x := newExchanger()
	res, err := x.Open(context.Background(), newRequest(e, "a"))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Discard()
	if got := res.Status; got != http.StatusFound {
		t.Errorf("got status %d, want %d", got, http.StatusFound)
	}
}

// TestUnreachableAndUnresponsiveEndpoint requires ErrNotSent for an endpoint that
// accepts no connection, and ErrLost at the deadline for one that reads the request and
// doesn't respond.
func TestUnreachableAndUnresponsiveEndpoint(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := &endpoint{address: l.Addr().String()}
	l.Close()
	if _, err := get(t, newExchanger(), newRequest(unreachable, "a")); !errors.Is(err, exchanger.ErrNotSent) {
		t.Errorf("unreachable: got error %v, want %v", err, exchanger.ErrNotSent)
	}
	unresponsive := newEndpoint(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
		readRequest(r)
		readRequest(r)
	})
	start := time.Now()
	if _, err := get(t, newExchanger(), newRequest(unresponsive, "a")); !errors.Is(err, exchanger.ErrLost) {
		t.Errorf("unresponsive: got error %v, want %v", err, exchanger.ErrLost)
	}
	if got := time.Since(start); got > 2*time.Second {
		t.Errorf("unresponsive: got the error after %v, want it at the deadline", got)
	}
}

// allocatedBytes returns the number of bytes that f allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestLongBodyNotCopied guards against copying long request bodies in memory.
func TestLongBodyNotCopied(t *testing.T) {
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			io.WriteString(c, response(id, "x"))
		}
	})
	req := newRequest(e, "a")
	req.Method = http.MethodPost
	req.Body = []byte(strings.Repeat("x", 8<<20))
	x := newExchanger()
	got := allocatedBytes(func() {
		if _, err := get(t, x, req); err != nil {
			t.Error(err)
		}
	})
	if want := uint64(1 << 20); got > want {
		t.Errorf("got %d bytes allocated to send a body of %d, want at most %d", got, len(req.Body), want)
	}
}
