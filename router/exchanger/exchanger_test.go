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

// endpoint is a stand-in that speaks bytes: serve is called for each connection.
type endpoint struct {
	address string
	conns   atomic.Int64
}

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

// read takes one request in and returns its id; empty at the end of the connection.
func read(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return ""
	}
	return req.Header.Get("Id")
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return string(rune('0'+n/10%10)) + string(rune('0'+n%10))
}

func call(e *endpoint, id string) exchanger.Call {
	return exchanger.Call{
		Address: e.address,
		Method:  http.MethodGet,
		Host:    "h",
		URI:     "/x",
		Header:  http.Header{"Id": {id}},
		Mine:    func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

func newExchanger() *exchanger.Exchanger {
	return &exchanger.Exchanger{DialTimeout: time.Second}
}

// get makes one exchange and returns the body, or the error of head or body.
func get(t *testing.T, x *exchanger.Exchanger, c exchanger.Call) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	a, err := x.Open(ctx, c)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a)
	if err != nil {
		a.Discard()
		return string(body), err
	}
	a.Close(time.Minute)
	return string(body), nil
}

// TestReuse requires that one connection serves many exchanges.
func TestReuse(t *testing.T) {
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			io.WriteString(c, answer(id, "body "+id))
		}
	})
	x := newExchanger()
	for _, id := range []string{"a", "b", "c"} {
		if got, err := get(t, x, call(e, id)); err != nil || got != "body "+id {
			t.Errorf("got %q, %v, want %q", got, err, "body "+id)
		}
	}
	if got := e.conns.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
	x.Forget(e.address)
}

// TestNeverRepeated requires that a request that an endpoint has read is not
// sent again, although it is a GET on a connection that was used before.
func TestNeverRepeated(t *testing.T) {
	var requests atomic.Int64
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			if requests.Add(1) == 2 {
				return
			}
			io.WriteString(c, answer(id, "x"))
		}
	})
	x := newExchanger()
	if _, err := get(t, x, call(e, "a")); err != nil {
		t.Fatal(err)
	}
	if _, err := get(t, x, call(e, "b")); !errors.Is(err, exchanger.ErrLost) {
		t.Errorf("got error %v, want %v", err, exchanger.ErrLost)
	}
	if got := requests.Load(); got != 2 {
		t.Errorf("the endpoint got %d requests, want 2", got)
	}
}

// TestClosedWhileUnused requires that a kept connection that the endpoint has
// closed is noticed before a request goes out on it.
func TestClosedWhileUnused(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		io.WriteString(c, answer(read(r), "x"))
		c.Close()
		closed <- struct{}{}
	})
	x := newExchanger()
	for _, id := range []string{"a", "b"} {
		if got, err := get(t, x, call(e, id)); err != nil || got != "x" {
			t.Errorf("got %q, %v, want %q", got, err, "x")
		}
		<-closed
		time.Sleep(20 * time.Millisecond)
	}
}

// TestAlien requires that a late answer to another request is passed over, and
// that the connection that it came on is not kept.
func TestAlien(t *testing.T) {
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			io.WriteString(c, answer("stray", "not yours")+answer(id, "yours"))
		}
	})
	x := newExchanger()
	for range 2 {
		if got, err := get(t, x, call(e, "a")); err != nil || got != "yours" {
			t.Errorf("got %q, %v, want %q", got, err, "yours")
		}
	}
	if got := e.conns.Load(); got != 2 {
		t.Errorf("got %d connections, want 2: one with strays is not kept", got)
	}
}

// TestSurplus requires that bytes beyond a whole answer reach nobody.
func TestSurplus(t *testing.T) {
	for name, surplus := range map[string]string{
		"answer": answer("a", "again"),
		"noise":  "\x00\x01 noise",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				for id := read(r); id != ""; id = read(r) {
					io.WriteString(c, answer(id, "body")+surplus)
				}
			})
			x := newExchanger()
			for _, id := range []string{"a", "b", "c"} {
				if got, err := get(t, x, call(e, id)); err != nil || got != "body" {
					t.Errorf("%s: got %q, %v, want %q", id, got, err, "body")
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// TestEarlyAnswer requires that a connection whose endpoint answered before it
// had read the body carries no other request.
func TestEarlyAnswer(t *testing.T) {
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, answer(req.Header.Get("Id"), "early"))
		time.Sleep(50 * time.Millisecond)
		n, _ := io.Copy(io.Discard, req.Body)
		if read(r) != "" {
			t.Errorf("after %d bytes of a body came another request on its connection", n)
		}
	})
	x := newExchanger()
	c := call(e, "a")
	c.Method = http.MethodPost
	c.Body = []byte(strings.Repeat("x", 8<<20))
	if got, err := get(t, x, c); err != nil || got != "early" {
		t.Errorf("got %q, %v, want %q", got, err, "early")
	}
	if got, err := get(t, x, call(e, "b")); err != nil || got != "early" {
		t.Errorf("got %q, %v, want %q", got, err, "early")
	}
}

// TestBodies requires that only a whole body ends without an error.
func TestBodies(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: a\r\n"
	for name, test := range map[string]struct {
		bytes string
		reset bool
		whole bool
	}{
		"length":            {bytes: head + "Content-Length: 4\r\n\r\nbody", whole: true},
		"length, cut":       {bytes: head + "Content-Length: 9\r\n\r\nbody"},
		"length below 0":    {bytes: head + "Content-Length: -2\r\n\r\nbody"},
		"chunks":            {bytes: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", whole: true},
		"chunks, cut":       {bytes: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
		"chunks, no number": {bytes: head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n"},
		"to the end":        {bytes: head + "\r\nbody", whole: true},
		"to the end, reset": {bytes: head + "\r\nbody", reset: true},
		"no answer":         {bytes: "\x16\x03\x01"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				read(r)
				io.WriteString(c, test.bytes)
				if test.reset {
					time.Sleep(30 * time.Millisecond)
					c.(*net.TCPConn).SetLinger(0)
				}
			})
			body, err := get(t, newExchanger(), call(e, "a"))
			if (err == nil) != test.whole {
				t.Errorf("got error %v, want whole %v", err, test.whole)
			}
			if test.whole && body != "body" {
				t.Errorf("got %q, want %q", body, "body")
			}
		})
	}
}

// TestRedirect requires that a redirect is an answer like any other.
func TestRedirect(t *testing.T) {
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			io.WriteString(c, "HTTP/1.1 302 Found\r\nLocation: /y\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	x := newExchanger()
	a, err := x.Open(context.Background(), call(e, "a"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Discard()
	if got := a.Status; got != http.StatusFound {
		t.Errorf("got status %d, want %d", got, http.StatusFound)
	}
}

// TestNotReached requires that an endpoint that takes no connection is told
// from one that may have read the request, and so is one that stays silent.
func TestNotReached(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free := &endpoint{address: l.Addr().String()}
	l.Close()
	if _, err := get(t, newExchanger(), call(free, "a")); !errors.Is(err, exchanger.ErrNotSent) {
		t.Errorf("nobody there: got error %v, want %v", err, exchanger.ErrNotSent)
	}
	silent := newEndpoint(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
		read(r)
		read(r)
	})
	begun := time.Now()
	if _, err := get(t, newExchanger(), call(silent, "a")); !errors.Is(err, exchanger.ErrLost) {
		t.Errorf("silent: got error %v, want %v", err, exchanger.ErrLost)
	}
	if got := time.Since(begun); got > 2*time.Second {
		t.Errorf("silent: got the error after %v, want it at the deadline", got)
	}
}

// allocated returns how many bytes f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestLongBodyNotCopied guards against a second copy of each long body in memory.
func TestLongBodyNotCopied(t *testing.T) {
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			io.WriteString(c, answer(id, "x"))
		}
	})
	c := call(e, "a")
	c.Method = http.MethodPost
	c.Body = []byte(strings.Repeat("x", 8<<20))
	x := newExchanger()
	got := allocated(func() {
		if _, err := get(t, x, c); err != nil {
			t.Error(err)
		}
	})
	if want := uint64(1 << 20); got > want {
		t.Errorf("got %d bytes allocated to send a body of %d, want at most %d", got, len(c.Body), want)
	}
}
