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
	// endlessPatience is the deadline of requests whose answers have no end, and
	// endSoon how soon they must be given up.
	endlessPatience = 3 * time.Second
	endSoon         = time.Second
	// headMemory bounds what may be allocated for one head, in bytes.
	headMemory = 1 << 20
)

// newEndless returns an endpoint that answers with start and then with piece
// over and over until the connection is closed, which the channel tells.
func newEndless(t *testing.T, start, piece string) (*endpoint, <-chan struct{}) {
	t.Helper()
	closed := make(chan struct{}, 10)
	many := []byte(strings.Repeat(piece, 16<<10/len(piece)+1))
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		read(r)
		io.WriteString(c, start)
		for {
			if _, err := c.Write(many); err != nil {
				closed <- struct{}{}
				return
			}
		}
	})
	return e, closed
}

// requireLost opens an exchange whose answer has no end and requires that it is
// given up, with its connection, well before the deadline.
func requireLost(t *testing.T, e *endpoint, closed <-chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), endlessPatience)
	defer cancel()
	begun := time.Now()
	a, err := newExchanger().Open(ctx, call(e, "a"))
	if err == nil {
		a.Discard()
	}
	if !errors.Is(err, exchanger.ErrLost) {
		t.Errorf("got error %v, want %v", err, exchanger.ErrLost)
	}
	select {
	case <-closed:
	case <-time.After(endSoon):
		t.Errorf("the connection is still open %v after the exchange", endSoon)
	}
	if got := time.Since(begun); got > endSoon {
		t.Errorf("got the end after %v, want it within %v", got, endSoon)
	}
}

// TestEndlessHead guards against heads without end that fill the memory.
func TestEndlessHead(t *testing.T) {
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
		"noise":           {piece: "\x00\x01\x02\x03"},
	} {
		t.Run(name, func(t *testing.T) {
			e, closed := newEndless(t, test.start, test.piece)
			got := allocated(func() { requireLost(t, e, closed) })
			if got > headMemory {
				t.Errorf("got %d bytes allocated for a head without end, want at most %d", got, headMemory)
			}
		})
	}
}

// TestEndlessAnswerToAnother guards against a late answer to another request
// whose body has no end, and which would be passed over until the deadline.
func TestEndlessAnswerToAnother(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: stray\r\n"
	for name, test := range map[string]struct {
		start string
		piece string
	}{
		"length":     {start: head + "Content-Length: 9000000000000\r\n\r\n", piece: "x"},
		"chunks":     {start: head + "Transfer-Encoding: chunked\r\n\r\n", piece: "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
		"to the end": {start: head + "\r\n", piece: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			e, closed := newEndless(t, test.start, test.piece)
			requireLost(t, e, closed)
		})
	}
}

// TestLargeHead guards against a bound that cuts heads and answers of usual size.
func TestLargeHead(t *testing.T) {
	large := "Large: " + strings.Repeat("x", 24<<10) + "\r\n"
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+large+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("y", 1000000))
		}
	})
	x := newExchanger()
	for _, id := range []string{"a", "b"} {
		if got, err := get(t, x, call(e, id)); err != nil || len(got) != 1000000 {
			t.Errorf("got %d bytes, %v, want 1000000", len(got), err)
		}
	}
	if got := e.conns.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

// TestNoiseNotTold guards against errors, and so logs, that repeat what an endpoint
// sent at length.
func TestNoiseNotTold(t *testing.T) {
	long := strings.Repeat("x", 30<<10)
	for name, bytes := range map[string]string{
		"protocol": long + " 200 OK\r\n\r\n",
		"status":   "HTTP/1.1 " + long + "\r\n\r\n",
		"header":   "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: " + long + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				read(r)
				io.WriteString(c, bytes)
			})
			_, err := get(t, newExchanger(), call(e, "a"))
			if !errors.Is(err, exchanger.ErrLost) {
				t.Fatalf("got error %v, want %v", err, exchanger.ErrLost)
			}
			if got := err.Error(); len(got) > 512 {
				t.Errorf("got an error of %d bytes, %.60q, want at most 512", len(got), got)
			}
		})
	}
}

// TestEndlessAfterAnswer guards against unused connections that take in bytes
// without end until their time has passed.
func TestEndlessAfterAnswer(t *testing.T) {
	closed := make(chan struct{})
	e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		io.WriteString(c, answer(read(r), "x"))
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
	if got, err := get(t, x, call(e, "a")); err != nil || got != "x" {
		t.Fatalf("got %q, %v, want %q", got, err, "x")
	}
	time.Sleep(200 * time.Millisecond)
	x.Sweep(time.Now())
	select {
	case <-closed:
	case <-time.After(endSoon):
		t.Errorf("the connection is still open %v after it was looked at", endSoon)
	}
}
