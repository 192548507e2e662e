package proxier_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
)

// cutAt returns a serve function that writes the first n bytes of a response and closes the
// connection.
func cutAt(response string, n int) func(int, io.Writer) {
	return func(_ int, w io.Writer) {
		// The test sees a write that failed as a shorter response.
		_, _ = io.WriteString(w, response[:n])
		w.(net.Conn).Close()
	}
}

const head = "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: %s\r\n%s\r\n"

// framings are the ways in which a body of two events ends. complete is the number of bytes
// from which on the response is whole; with its connection's end it is so after each event.
func framings(contentType, body string) map[string]string {
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	half := strings.Index(body, "\n\n") + 2
	return map[string]string{
		"length":      fmt.Sprintf(head, contentType, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body,
		"chunks":      fmt.Sprintf(head, contentType, "Transfer-Encoding: chunked\r\n") + chunk(body[:half]) + chunk(body[half:]) + "0\r\n\r\n",
		"until close": fmt.Sprintf(head, contentType, "Connection: close\r\n") + body,
	}
}

const twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// TestCutResponseLooksComplete cuts an endpoint's response at every byte. It guards against
// a cut one that a caller gets as a whole one.
func TestCutResponseLooksComplete(t *testing.T) {
	for _, streams := range []bool{true, false} {
		contentType := "application/json"
		if streams {
			contentType = "text/event-stream"
		}
		for name, response := range framings(contentType, twoEvents) {
			t.Run(fmt.Sprintf("%s, streams %v", name, streams), func(t *testing.T) {
				headEnd := strings.Index(response, "\r\n\r\n") + 4
				for n := range len(response) {
					if name == "until close" && mayEnd(streams, response[headEnd:], n-headEnd) {
						continue
					}
					f := newFixture(cataloguer.AtMostOnce, streams, newEndpoint(t, "a", cutAt(response, n)))
					w, started, err := f.serve(t.Context(), 2*time.Second)
					if err == nil {
						t.Errorf("cut after byte %d of %d: got status %d and body %q, started %v, want an error", n, len(response), w.Code, w.Body, started)
					}
				}
			})
		}
	}
}

// mayEnd reports whether a body that ends with its connection may end after n bytes: a plain
// one anywhere, a stream after any event.
func mayEnd(streams bool, body string, n int) bool {
	if n < 0 {
		return false
	}
	return !streams || n > 0 && strings.HasSuffix(body[:n], "\n\n")
}

// TestErrorInsideResumedStream guards against the answer of the next endpoint that a caller
// finds inside its stream, or that ends the stream as if it were complete.
func TestErrorInsideResumedStream(t *testing.T) {
	signed := "Id: r1\r\nStamp: s\r\n"
	for name, second := range map[string]string{
		"server error":           "HTTP/1.1 500 X\r\n" + signed + "Content-Length: 9\r\n\r\nid: 2\n\n\n\n",
		"client error":           "HTTP/1.1 404 X\r\n" + signed + "Content-Length: 7\r\n\r\nerror\n\n",
		"not run":                "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 7\r\n\r\nerror\n\n",
		"unsigned":               "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\nContent-Length: 7\r\n\r\nerror\n\n",
		"error with status 200":  "HTTP/1.1 200 OK\r\n" + signed + "Content-Type: application/json\r\nContent-Length: 7\r\n\r\nerror\n\n",
		"no content":             "HTTP/1.1 204 X\r\n" + signed + "\r\n",
		"until close, no event":  "HTTP/1.1 200 OK\r\n" + signed + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		"until close, error":     "HTTP/1.1 200 OK\r\n" + signed + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nerror\n\n",
		"no response":            "error\n\n",
		"head in the head":       "HTTP/1.1 200 OK\r\nHTTP/1.1 500 X\r\n" + signed + "Content-Length: 7\r\n\r\nerror\n\n",
		"switches the protocols": "HTTP/1.1 101 X\r\n" + signed + "Connection: upgrade\r\nUpgrade: x\r\n\r\nerror\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			first := newEndpoint(t, "a", streamEvents(1, false))
			f := newFixture(cataloguer.Resumable, true, first, newEndpoint(t, "b", cutAt(second, len(second))))
			w, started, err := f.serve(t.Context(), time.Second)
			if err == nil || !started {
				t.Errorf("got error %v, started %v, want a stream that is broken off", err, started)
			}
			if got, want := w.Body.String(), "id: 1\ndata: 1\n\n"; got != want {
				t.Errorf("body: got %q, want %q", got, want)
			}
		})
	}
}
