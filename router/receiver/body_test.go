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

// testTimeout is far longer than any step takes.
const testTimeout = 10 * time.Second

// dial starts a server of x and connects to it. It returns the connection and a
// function that closes both.
func dial(t *testing.T, x http.Handler) (net.Conn, func()) {
	t.Helper()
	server := httptest.NewServer(x)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	return c, func() {
		c.Close()
		server.Close()
	}
}

// TestMalformedOrSlowBodyIsNotCancellation guards against status 499, or no timely
// response, for callers that are still connected and send a malformed or slow body.
func TestMalformedOrSlowBodyIsNotCancellation(t *testing.T) {
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
		{name: "malformed chunk", path: "/orders/1", header: "Transfer-Encoding: chunked", body: "zz\r\n", status: 400, kind: "bad-request"},
		{name: "too many chunks", path: "/orders/1", header: "Transfer-Encoding: chunked", body: "8\r\n12345678\r\n", status: 413, kind: "too-large"},
		{name: "length over the limit, nothing sent", path: "/orders/1", header: "Content-Length: 5", body: "", status: 413, kind: "too-large"},
		{name: "long trailer", path: "/orders/1", header: "Transfer-Encoding: chunked", body: "0\r\nLong: " + strings.Repeat("x", 8<<10), status: 400, kind: "bad-request"},
		{name: "slow, no route", path: "/other/", header: "Content-Length: 3", body: "a", status: 404, kind: "not-found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, logOutput := newReceiver(newSite())
			conn, closeAll := dial(t, x)
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nKey: k\r\n%s\r\n\r\n%s", c.path, c.header, c.body)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				closeAll()
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			closeAll()
			if res.StatusCode != c.status || !strings.Contains(string(body), `"ran":"no"`) || err != nil {
				t.Errorf("got status %d, body %s, error %v, want %d and \"ran\":\"no\"", res.StatusCode, body, err, c.status)
			}
			if want := `"kind":"` + c.kind + `"`; !strings.Contains(logOutput.String(), want) {
				t.Errorf("got log %s, want %s in it", logOutput, want)
			}
			if c.status != http.StatusNotFound && !res.Close {
				t.Error("got a kept connection after a body that was not read to its end, want Connection: close")
			}
		})
	}
}

// TestCallerDisconnectsDuringBody guards against logging a refusal for callers that
// disconnected before their body was complete.
func TestCallerDisconnectsDuringBody(t *testing.T) {
	for _, body := range []string{"Content-Length: 3\r\n\r\na", "Transfer-Encoding: chunked\r\n\r\n3\r\na"} {
		x, logOutput := newReceiver(newSite())
		conn, closeAll := dial(t, x)
		fmt.Fprint(conn, "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nKey: k\r\n"+body)
		conn.(*net.TCPConn).CloseWrite()
		if got, err := io.ReadAll(conn); len(got) > 0 || err != nil {
			t.Errorf("got %q, error %v, want the connection to be closed", got, err)
		}
		closeAll()
		if want := "caller went away"; !strings.Contains(logOutput.String(), want) {
			t.Errorf("got log %s, want %s in it", logOutput, want)
		}
	}
}

// TestBodyDeadlineIsClearedAfterBody guards against the deadline for one request's
// body aborting the next request on the connection.
func TestBodyDeadlineIsClearedAfterBody(t *testing.T) {
	x, _ := newReceiver(newSite())
	conn, closeAll := dial(t, x)
	defer closeAll()
	responses := bufio.NewReader(conn)
	for range 3 {
		fmt.Fprint(conn, "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nContent-Length: 1\r\n\r\na")
		res, err := http.ReadResponse(responses, nil)
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
