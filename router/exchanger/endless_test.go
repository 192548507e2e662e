package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"heatherhold.dev/router/exchanger"
)

const (
	// endlessDeadline is the timeout of requests whose response has no end;
	// abortTimeout is the time within which they must be aborted.
	endlessDeadline = 3 * time.Second
	abortTimeout    = time.Second
	// maxHeaderAlloc limits the memory allocated for one header, in bytes.
	maxHeaderAlloc = 1 << 20
)

// newEndlessEndpoint returns an endpoint that responds with start and then repeats
// piece until the connection is closed. The channel receives a value for each closed
// connection.
func newEndlessEndpoint(t *testing.T, start, piece string) (*endpoint, <-chan struct{}) {
	t.Helper()
	closed := make(chan struct{}, 10)
	block := []byte(strings.Repeat(piece, 16<<10/len(piece)+1))
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, start)
		for {
			if _, err := c.Write(block); err != nil {
				closed <- struct{}{}
				return
			}
		}
	})
	return e, closed
}

// requireLost opens an exchange whose response has no end and requires that it fails
// and its connection is closed well before the deadline.
func requireLost(t *testing.T, e *endpoint, closed <-chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), endlessDeadline)
	defer cancel()
	start := time.Now()
	res, err := newExchanger().Open(ctx, newRequest(e, "a"))
	if err == nil {
		res.Discard()
	}
	if !errors.Is(err, exchanger.ErrLost) {
		t.Errorf("got error %v, want %v", err, exchanger.ErrLost)
	}
	select {
	case <-closed:
	case <-time.After(abortTimeout):
		t.Errorf("the connection is still open %v after the exchange", abortTimeout)
	}
	if got := time.Since(start); got > abortTimeout {
		t.Errorf("got the error after %v, want it within %v", got, abortTimeout)
	}
}

// TestEndlessHeader guards against endless headers that exhaust the memory.
func TestEndlessHeader(t *testing.T) {
	for name, test := range map[string]struct {
		start string
		piece string
	}{
		"status line":     {start: "HTTP/1.1 200 O", piece: "K"},
		"header line":     {start: "HTTP/1.1 200 OK\r\nId: ", piece: "a"},
		"headers":         {start: "HTTP/1.1 200 OK\r\n", piece: "Id: a\r\n"},
		"interim headers": {start: "HTTP/1.1 103 Early Hints\r\n", piece: "Link: a\r\n"},
		"interim answers": {piece: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"lines":           {start: "HTTP/1.1 200 OK\r\nId: a\r\n", piece: " more\r\n"},
		"binary data":     {piece: "\x00\x01\x02\x03"},
	} {
		t.Run(name, func(t *testing.T) {
			e, closed := newEndlessEndpoint(t, test.start, test.piece)
			got := allocatedBytes(func() { requireLost(t, e, closed) })
			if got > maxHeaderAlloc {
				t.Errorf("got %d bytes allocated for an endless header, want at most %d", got, maxHeaderAlloc)
			}
		})
	}
}

// TestEndlessResponseToOtherRequest guards against reading a late response to another
// request until the deadline because its body has no end.
func TestEndlessResponseToOtherRequest(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\nId: stray\r\n"
	for name, test := range map[string]struct {
		start string
		piece string
	}{
		"length":      {start: header + "Content-Length: 9000000000000\r\n\r\n", piece: "x"},
		"chunks":      {start: header + "Transfer-Encoding: chunked\r\n\r\n", piece: "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
		"until close": {start: header + "\r\n", piece: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			e, closed := newEndlessEndpoint(t, test.start, test.piece)
			requireLost(t, e, closed)
		})
	}
}

// TestLargeHeader guards against a limit that rejects headers and bodies of common
// size.
func TestLargeHeader(t *testing.T) {
	large := "Large: " + strings.Repeat("x", 24<<10) + "\r\n"
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+large+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("y", 1000000))
		}
	})
	x := newExchanger()
	for _, id := range []string{"a", "b"} {
		if got, err := get(t, x, newRequest(e, id)); err != nil || len(got) != 1000000 {
			t.Errorf("got %d bytes, %v, want 1000000", len(got), err)
		}
	}
	if got := e.conns.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

// TestErrorQuotesLittleOfResponse guards against errors, and thus log lines, that
// contain large amounts of data from an endpoint.
func TestErrorQuotesLittleOfResponse(t *testing.T) {
	long := strings.Repeat("x", 30<<10)
	for name, bytes := range map[string]string{
		"protocol": long + " 200 OK\r\n\r\n",
		"status":   "HTTP/1.1 " + long + "\r\n\r\n",
		"header":   "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: " + long + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				io.WriteString(c, bytes)
			})
			_, err := get(t, newExchanger(), newRequest(e, "a"))
			if !errors.Is(err, exchanger.ErrLost) {
				t.Fatalf("got error %v, want %v", err, exchanger.ErrLost)
			}
			if got := err.Error(); len(got) > 512 {
				t.Errorf("got an error of %d bytes, %.60q, want at most 512", len(got), got)
			}
		})
	}
}

// TestEndlessDataAfterResponse guards against idle connections that receive data
// without end until their idle deadline.
func TestEndlessDataAfterResponse(t *testing.T) {
	closed := make(chan struct{})
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		io.WriteString(c, response(readRequest(r), "x"))
		time.Sleep(50 * time.Millisecond)
		more := []byte(strings.Repeat("x", 16<<10))
		for {
			if _, err := c.Write(more); err != nil {
				close(closed)
				return
			}
		}
	})
	x := newExchanger()
	if got, err := get(t, x, newRequest(e, "a")); err != nil || got != "x" {
		t.Fatalf("got %q, %v, want %q", got, err, "x")
	}
	time.Sleep(200 * time.Millisecond)
	x.CloseExpired(time.Now())
	select {
	case <-closed:
	case <-time.After(abortTimeout):
		t.Errorf("the connection is still open %v after CloseExpired", abortTimeout)
	}
}
