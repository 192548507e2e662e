package server_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestConnectionKeptAfterUnreadBody guards against waiting for a body whose announced length is over the
// limit, and against taking the rest of a body that was not read to its end for the next request.
func TestConnectionKeptAfterUnreadBody(t *testing.T) {
	s, address := newServer(t, func(http.ResponseWriter, *http.Request) {})
	for _, c := range []struct {
		name   string
		header string
		body   string
		status int
	}{
		{name: "length over the limit, nothing sent", header: fmt.Sprintf("Content-Length: %d", s.BodyLimit+1), status: 413},
		{name: "long trailer", header: "Transfer-Encoding: chunked", body: "0\r\nLong: " + strings.Repeat("x", 8<<10), status: 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n%s\r\n\r\n%s", c.header, c.body)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			if res.StatusCode != c.status || !res.Close {
				t.Errorf("got status %d, close %t, want %d and the connection to be closed", res.StatusCode, res.Close, c.status)
			}
		})
	}
}
