package exchanger

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Answer is an endpoint's answer. It ends with Close or Discard.
type Answer struct {
	Status int
	Header http.Header

	exchanger *Exchanger
	conn      *conn
	body      io.ReadCloser
	closing   bool
	whole     bool
	alien     bool
	stop      func() bool
	written   chan error
}

// send writes the request head and, if it is short, the body with it.
func (a *Answer) send(c Call) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.URI, c.Host)
	// Writing to a buffer can't fail.
	_ = c.Header.Write(&b)
	if len(c.Body) > 0 || (c.Method != http.MethodGet && c.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if b.Len()+len(c.Body) <= writeAtOnce {
		b.Write(c.Body)
		_, err := a.conn.Write(b.Bytes())
		a.written <- err
		return err
	}
	// A long body may be answered before it is read: it is written beside the
	// wait for the answer, and from where it is.
	parts := net.Buffers{b.Bytes(), c.Body}
	var group sync.WaitGroup
	group.Go(func() {
		_, err := parts.WriteTo(a.conn.Conn)
		a.written <- err
	})
	return nil
}

// writeAtOnce is how many bytes a connection takes without being read, surely.
const writeAtOnce = 16 << 10

// receive reads the head of the answer to c; answers to other requests, which
// an endpoint may have left on the connection, are passed over.
func (a *Answer) receive(c Call) error {
	for range alienLimit {
		a.conn.bound(headLimit)
		res, err := http.ReadResponse(a.conn.reader, &http.Request{Method: c.Method})
		a.conn.release()
		if err != nil {
			return err
		}
		if res.StatusCode < http.StatusOK {
			_ = res.Body.Close()
			continue
		}
		if !c.Mine(res.StatusCode, res.Header) {
			a.alien = true
			if err := a.skip(res.Body); err != nil {
				return err
			}
			continue
		}
		a.Status = res.StatusCode
		a.Header = res.Header
		a.body = res.Body
		a.closing = res.Close
		return nil
	}
	return errors.New("the endpoint answers other requests only")
}

// skip passes over the body of an answer to another request.
func (a *Answer) skip(body io.Reader) error {
	a.conn.bound(alienBytes)
	defer a.conn.release()
	_, err := io.Copy(io.Discard, body)
	return err
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// SetDeadline bounds the next reads.
func (a *Answer) SetDeadline(t time.Time) error {
	return a.conn.SetReadDeadline(t)
}

// Close ends the exchange. The connection is kept for at most idle if the
// answer was read whole and nothing is left open.
func (a *Answer) Close(idle time.Duration) {
	if !a.reusable() || !a.stop() {
		a.Discard()
		return
	}
	if idle <= 0 {
		idle = idleDefault
	}
	a.conn.until = time.Now().Add(idle / idleMargin)
	if err := a.conn.SetReadDeadline(time.Time{}); err != nil {
		a.Discard()
		return
	}
	a.exchanger.keep(a.conn)
}

func (a *Answer) reusable() bool {
	if !a.whole || a.closing || a.alien || a.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// Discard ends the exchange and closes the connection.
func (a *Answer) Discard() {
	a.stop()
	_ = a.conn.Close()
}
