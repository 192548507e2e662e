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

// Response is an endpoint's response. The caller must end it with Close or Discard.
type Response struct {
	Status int
	Header http.Header

	exchanger *Exchanger
	conn      *conn
	body      io.ReadCloser
	// closeAfter is set if the endpoint closes the connection after the response.
	closeAfter bool
	// complete is set once the body was read to its end.
	complete bool
	// skippedOther is set if a response to another request was skipped.
	skippedOther bool
	// stopCancel keeps the end of the context from closing the connection; it
	// returns false if that is too late.
	stopCancel func() bool
	// writeDone receives the result of writing the request.
	writeDone chan error
}

// send writes the request: a short one in a single call, a longer one in a separate
// goroutine.
func (a *Response) send(c Request) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.URI, c.Host)
	// Writing to a buffer can't fail.
	_ = c.Header.Write(&b)
	if len(c.Body) > 0 || (c.Method != http.MethodGet && c.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if b.Len()+len(c.Body) <= singleWriteLimit {
		b.Write(c.Body)
		_, err := a.conn.Write(b.Bytes())
		a.writeDone <- err
		return err
	}
	// The endpoint may respond before it has read a long body, so the body is
	// written concurrently with the wait for the response, and without a copy.
	buffers := net.Buffers{b.Bytes(), c.Body}
	var group sync.WaitGroup
	group.Go(func() {
		_, err := buffers.WriteTo(a.conn.Conn)
		a.writeDone <- err
	})
	return nil
}

// singleWriteLimit is a number of bytes that certainly fits into a connection's
// buffers, so that the write doesn't block even if the endpoint reads nothing.
const singleWriteLimit = 16 << 10

// receive reads the header of the response to c. It skips responses to other
// requests, which an endpoint may have left on the connection.
func (a *Response) receive(c Request) error {
	for range maxOtherResponses {
		a.conn.limitReads(maxHeaderBytes)
		res, err := http.ReadResponse(a.conn.reader, &http.Request{Method: c.Method})
		a.conn.removeReadLimit()
		if err != nil {
			return err
		}
		if res.StatusCode < http.StatusOK {
			_ = res.Body.Close()
			continue
		}
		if !c.Matches(res.StatusCode, res.Header) {
			a.skippedOther = true
			if err := a.discardBody(res.Body); err != nil {
				return err
			}
			continue
		}
		a.Status = res.StatusCode
		a.Header = res.Header
		a.body = res.Body
		a.closeAfter = res.Close
		return nil
	}
	return errors.New("the endpoint sent only responses to other requests")
}

// discardBody reads and discards the body of a response to another request.
func (a *Response) discardBody(body io.Reader) error {
	a.conn.limitReads(maxOtherBodyBytes)
	defer a.conn.removeReadLimit()
	_, err := io.Copy(io.Discard, body)
	return err
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// SetDeadline sets the deadline for subsequent reads.
func (a *Response) SetDeadline(t time.Time) error {
	return a.conn.SetReadDeadline(t)
}

// Close ends the exchange. If the complete response was read and nothing of the
// exchange is outstanding, the connection is kept for reuse, for less than idle,
// the endpoint's idle timeout.
func (a *Response) Close(idle time.Duration) {
	if !a.reusable() || !a.stopCancel() {
		a.Discard()
		return
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	a.conn.idleDeadline = time.Now().Add(idle / idleDivisor)
	if err := a.conn.SetReadDeadline(time.Time{}); err != nil {
		a.Discard()
		return
	}
	a.exchanger.putIdle(a.conn)
}

func (a *Response) reusable() bool {
	if !a.complete || a.closeAfter || a.skippedOther || a.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.writeDone:
		return err == nil
	default:
		return false
	}
}

// Discard ends the exchange and closes the connection.
func (a *Response) Discard() {
	a.stopCancel()
	_ = a.conn.Close()
}
