package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// bound is far above the time of any step.
const bound = 10 * time.Second

// dial connects to x as served over the network, and returns the connection and
// what ends both.
func dial(t *testing.T, x http.Handler) (net.Conn, func()) {
	t.Helper()
	server := httptest.NewServer(x)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(bound))
	return c, func() {
		c.Close()
		server.Close()
	}
}

// TestBrokenBodyIsNoCancellation guards against 499, or no answer in time, for
// callers who are still there and whose body is broken or slow.
func TestBrokenBodyIsNoCancellation(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		header string
		body   string
		status int
		kind   string
	}{
		{name: "slow", path: "/orders/1", header: "Content-Length: 3", body: "a", status: 408, kind: "too-slow"},
		{name: "slow chunk", path: "/orders/1", header: "Transfer-Encoding: chunked", body: "3\r\na", status: 408, kind: "too-slow"},
		{name: "broken chunk", path: "/orders/1", header: "Transfer-Encoding: chunked", body: "zz\r\n", status: 400, kind: "bad-request"},
		{name: "too many chunks", path: "/orders/1", header: "Transfer-Encoding: chunked", body: "8\r\n12345678\r\n", status: 413, kind: "too-large"},
		{name: "slow, no route", path: "/other/", header: "Content-Length: 3", body: "a", status: 404, kind: "not-found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, lines := newReceiver(newSite())
			conn, end := dial(t, x)
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nKey: k\r\n%s\r\n\r\n%s", c.path, c.header, c.body)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				end()
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			end()
			if res.StatusCode != c.status || !strings.Contains(string(body), `"ran":"no"`) || err != nil {
				t.Errorf("got status %d, body %s, error %v, want %d and that it did not run", res.StatusCode, body, err, c.status)
			}
			if want := `"kind":"` + c.kind + `"`; !strings.Contains(lines.String(), want) {
				t.Errorf("got log %s, want %s in it", lines, want)
			}
		})
	}
}

// TestCallerLeavesInBody guards against lines of a refusal for callers who went
// away before their body was whole.
func TestCallerLeavesInBody(t *testing.T) {
	for _, body := range []string{"Content-Length: 3\r\n\r\na", "Transfer-Encoding: chunked\r\n\r\n3\r\na"} {
		x, lines := newReceiver(newSite())
		conn, end := dial(t, x)
		fmt.Fprint(conn, "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nKey: k\r\n"+body)
		conn.(*net.TCPConn).CloseWrite()
		if got, err := io.ReadAll(conn); len(got) > 0 || err != nil {
			t.Errorf("got %q, error %v, want the connection to be closed", got, err)
		}
		end()
		if want := "caller went away"; !strings.Contains(lines.String(), want) {
			t.Errorf("got log %s, want %s in it", lines, want)
		}
	}
}

// TestBodyDeadlineEndsWithTheBody guards against a deadline of one request's body
// that cuts the next request on the connection.
func TestBodyDeadlineEndsWithTheBody(t *testing.T) {
	x, _ := newReceiver(newSite())
	conn, end := dial(t, x)
	defer end()
	answers := bufio.NewReader(conn)
	for range 3 {
		fmt.Fprint(conn, "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nContent-Length: 1\r\n\r\na")
		res, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, res.Body)
		if got, want := res.StatusCode, 503; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
		time.Sleep(2 * 200 * time.Millisecond)
	}
}
