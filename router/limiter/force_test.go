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
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/receiver"
)

// codec reads nothing of a request's headers.
type codec struct{}

func (codec) Request(*http.Request) (*courier.Request, error) {
	return &courier.Request{ID: "q1", Received: time.Now()}, nil
}

// newRouter serves callers as a router does that knows no configuration yet and
// has no routes: what is within the limits gets 404.
func newRouter(t *testing.T) *bed {
	t.Helper()
	x := &receiver.Receiver{Codec: codec{}}
	b := newBed(t, x.ServeHTTP, cataloguer.Limits{})
	x.Log = logrus.New().WithField("part", "receiver")
	x.Log.(*logrus.Entry).Logger.SetOutput(io.Discard)
	x.Observer = b.limiter.Observer
	x.Observer.Confirm(time.Now().Add(time.Hour))
	x.Observer.Publish(&observer.View{})
	return b
}

// sized returns a request whose header fields have a size in bytes.
func sized(size int) string {
	const rest = "Host: h\r\nLong: \r\n"
	return "GET /a HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", size-len(rest)) + "\r\n\r\n"
}

// status sends a request and returns the answer's status; 0 if there is none.
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

// TestHeadIsHeldToLimitInForce guards against 431 by a limit of the settings or of
// an old configuration, on new and on kept connections.
func TestHeadIsHeldToLimitInForce(t *testing.T) {
	b := newRouter(t)
	kept := b.dial(t)
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
			b.declare(cataloguer.Limits{HeaderBytes: c.limit})
		}
		for name, conn := range map[string]net.Conn{"new": b.dial(t), "kept": kept} {
			if got := status(t, conn, sized(c.size)); got != c.want {
				t.Errorf("%s connection, limit %d, header fields of %d bytes: got status %d, want %d", name, c.limit, c.size, got, c.want)
			}
		}
	}
	b.declare(cataloguer.Limits{HeaderBytes: 1 << 10})
	if got, want := status(t, kept, "GET /"+strings.Repeat("a", 1<<10)+" HTTP/1.1\r\nHost: h\r\n\r\n"), 431; got != want {
		t.Errorf("long first line: got status %d, want %d", got, want)
	}
}

const (
	// short is a limit that is waited for, and over a wait beyond it.
	short = 400 * time.Millisecond
	over  = short + short/2
)

// TestHeaderTimeoutInForce guards against a head that is cut off by a timeout that
// is not in force, and against one that is let go on after its time.
func TestHeaderTimeoutInForce(t *testing.T) {
	b := newRouter(t)
	const first, rest = "GET /a HTTP/1.1\r\n", "Host: h\r\n\r\n"
	send := func(between func()) int {
		c := b.dial(t)
		fmt.Fprint(c, first)
		between()
		return status(t, c, rest)
	}
	if got, want := send(func() { time.Sleep(over) }), 503; got != want {
		t.Errorf("no configuration: got status %d, want %d", got, want)
	}
	b.declare(cataloguer.Limits{HeaderTimeout: short})
	if got := send(func() { time.Sleep(over) }); got == 404 {
		t.Errorf("lowered: got status %d, want the head to be cut off", got)
	}
	raised := func() {
		b.declare(cataloguer.Limits{HeaderTimeout: patience})
		time.Sleep(over)
	}
	if got, want := send(raised), 404; got != want {
		t.Errorf("raised while the head comes: got status %d, want %d", got, want)
	}
}

// TestHeaderTimeoutRunsFromFirstByte guards against connections that are closed by
// the header's timeout before a request has begun.
func TestHeaderTimeoutRunsFromFirstByte(t *testing.T) {
	b := newBed(t, func(http.ResponseWriter, *http.Request) {}, cataloguer.Limits{
		HeaderTimeout: short,
		IdleTimeout:   patience,
	})
	c := b.dial(t)
	for range 2 {
		time.Sleep(over)
		if got, want := status(t, c, whole), 200; got != want {
			t.Fatalf("got status %d, want %d", got, want)
		}
	}
}

// TestIdleTimeoutInForce guards against connections that are closed, or kept, by an
// idle timeout that is not in force.
func TestIdleTimeoutInForce(t *testing.T) {
	b := newRouter(t)
	b.declare(cataloguer.Limits{IdleTimeout: short})
	used, unused := b.dial(t), b.dial(t)
	if got, want := status(t, used, whole), 404; got != want {
		t.Fatalf("got status %d, want %d", got, want)
	}
	b.declare(cataloguer.Limits{IdleTimeout: patience})
	time.Sleep(over)
	for name, c := range map[string]net.Conn{"used": used, "unused": unused} {
		if got, want := status(t, c, whole), 404; got != want {
			t.Errorf("raised while a %s connection waits: got status %d, want %d", name, got, want)
		}
	}
	b.declare(cataloguer.Limits{IdleTimeout: short})
	if got, want := status(t, used, whole), 404; got != want {
		t.Errorf("lowered: got status %d, want %d", got, want)
	}
	begun := time.Now()
	if n, err := used.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(begun) > patience/2 {
		t.Errorf("lowered: got %d bytes, error %v after %v, want the connection to be closed", n, err, time.Since(begun))
	}
}

// TestChangeCutsNoRequest guards against a request that is served, or whose body
// comes, and is cut by timeouts that have become shorter.
func TestChangeCutsNoRequest(t *testing.T) {
	running := make(chan struct{}, 1)
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		time.Sleep(over)
		if r.Context().Err() == nil {
			io.Copy(w, r.Body)
		}
	}, cataloguer.Limits{})
	c := b.dial(t)
	for _, body := range []string{"", "abc"} {
		fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
		<-running
		b.declare(cataloguer.Limits{
			HeaderBytes:   1,
			HeaderTimeout: short / 4,
			IdleTimeout:   short,
		})
		time.Sleep(short / 2)
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

// TestSlowHeadIsNoBadRequest guards against 400 for a head that is slow in the
// middle of a line; callers don't ask again after it.
func TestSlowHeadIsNoBadRequest(t *testing.T) {
	for _, start := range []string{"GET /a HT", "GET /a HTTP/1.1\r\n", "GET /a HTTP/1.1\r\nHo"} {
		b := newRouter(t)
		b.declare(cataloguer.Limits{HeaderTimeout: short / 4})
		c := b.dial(t)
		if got, want := status(t, c, start), 408; got != want {
			t.Errorf("%q: got status %d, want %d", start, got, want)
		}
		if rest, err := io.ReadAll(c); len(rest) > 0 || err != nil {
			t.Errorf("%q: got %q, error %v after the answer, want the end", start, rest, err)
		}
	}
}
