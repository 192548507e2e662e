package exchanger_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"heatherhold.dev/router/exchanger"
)

// uploadBytes is more than the buffers of a connection hold, so that the upload is still being written
// when the endpoint answers without reading it.
const uploadBytes = 16 << 20

var longBody = bytes.Repeat([]byte("x"), uploadBytes)

// upload returns a request with a long body.
func upload(e *endpoint) exchanger.Request {
	req := newRequest(e, "a")
	req.Method = http.MethodPost
	req.Body = longBody
	return req
}

// TestResetDuringUploadEndsAnswer guards against taking the part of an answer without a length that came
// before the connection was reset for the whole one, because the upload that was still being written
// got the error of the reset.
func TestResetDuringUploadEndsAnswer(t *testing.T) {
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart of the answer")
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
	})
	whole := 0
	const tries = 20
	for range tries {
		if body, err := get(t, newExchanger(), upload(e)); err == nil {
			whole++
			t.Logf("got %q and no error", body)
		}
	}
	if whole > 0 {
		t.Errorf("got %d of %d answers as whole after a reset, want none", whole, tries)
	}
}

// TestClosedDuringUploadEndsAnswer guards against the same where the endpoint closes the connection, with a part
// of the upload unread or when it has just read all that had come: the connection is reset then, at once
// or by what comes next.
func TestClosedDuringUploadEndsAnswer(t *testing.T) {
	for name, read := range map[string]int64{
		"unread bytes":    0,
		"read until then": 1 << 20,
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				if _, err := r.ReadString('\n'); err != nil {
					return
				}
				if _, err := io.CopyN(io.Discard, r, read); err != nil {
					t.Error(err)
				}
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart of the answer")
			})
			for range 20 {
				if body, err := get(t, newExchanger(), upload(e)); err == nil {
					t.Fatalf("got %q and no error, want an error", body)
				}
			}
		})
	}
}

// TestAnswerBeforeUploadIsRead requires that an answer without a length is whole if the endpoint sent
// the end of it, though it read little of the request.
func TestAnswerBeforeUploadIsRead(t *testing.T) {
	done := make(chan struct{})
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nthe answer")
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Error(err)
		}
		<-done
	})
	got, err := get(t, newExchanger(), upload(e))
	close(done)
	if want := "the answer"; got != want || err != nil {
		t.Errorf("got %q and error %v, want %q", got, err, want)
	}
}
