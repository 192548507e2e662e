package proxier_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
)

// longUpload is more than the buffers of a connection hold.
var longUpload = bytes.Repeat([]byte("x"), 16<<20)

// newHastyEndpoint returns an endpoint that answers a request before it has read its body. It resets the
// connection after the first half of the answer in the first run of all endpoints with the same counter, and
// reads the body and answers in full in the others.
func newHastyEndpoint(t *testing.T, name string, f framing, contentType string, answer func(after int) string, runs *atomic.Int64) *endpoint {
	t.Helper()
	e := &endpoint{}
	e.listen(t, name, func(c net.Conn) {
		r := bufio.NewReader(c)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var after int
		fmt.Sscan(req.Header.Get("After"), &after)
		body := answer(after)
		if runs.Add(1) == 1 {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: %s\r\n", contentType)
			half := body[:len(body)/2]
			switch f {
			case untilClose:
				fmt.Fprint(c, head+"\r\n"+half)
			case withLength:
				fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), half)
			case inChunks:
				fmt.Fprint(c, head+"Transfer-Encoding: chunked\r\n\r\n")
				writeChunk(c, half)
			}
			time.Sleep(5 * time.Millisecond)
			if err := c.(*net.TCPConn).SetLinger(0); err != nil {
				t.Error(err)
			}
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err == nil {
			writeFramed(c, f, contentType, body, len(body))
		}
	})
	return e
}

// TestResetDuringUploadLooksComplete guards against passing on what came of an answer before its connection was
// reset as the whole answer, because the request was still being written: for each kind of route, service
// and framing.
func TestResetDuringUploadLooksComplete(t *testing.T) {
	for _, streams := range []bool{false, true} {
		contentType, answer := "application/json", func(int) string { return strings.Repeat("0123456789", 10) }
		if streams {
			contentType, answer = eventType, func(after int) string { return eventsBetween(after, lastOfAnswer) }
		}
		for _, engine := range []bool{false, true} {
			for _, repetition := range []cataloguer.Repetition{cataloguer.AtMostOnce, cataloguer.Resumable} {
				for _, f := range []framing{untilClose, withLength, inChunks} {
					t.Run(fmt.Sprintf("stream %t, engine %t, %s, by %s", streams, engine, repetition, f), func(t *testing.T) {
						runs := atomic.Int64{}
						first := newHastyEndpoint(t, "a", f, contentType, answer, &runs)
						second := newHastyEndpoint(t, "b", f, contentType, answer, &runs)
						x := newFixture(repetition, engine, first, second)
						x.route.Streams = streams
						j := x.job(5 * time.Second)
						j.Request.Body = longUpload
						w := httptest.NewRecorder()
						_, err := x.proxier.Serve(context.Background(), w, j)
						if repetition == cataloguer.AtMostOnce && (err == nil || runs.Load() != 1) {
							t.Errorf("got %q, %d runs and error %v, want one run and an error", w.Body.String(), runs.Load(), err)
						}
						if got, want := w.Body.String(), answer(0); repetition == cataloguer.Resumable && (got != want || err != nil) {
							t.Errorf("got %q and error %v, want %q", got, err, want)
						}
					})
				}
			}
		}
	}
}
