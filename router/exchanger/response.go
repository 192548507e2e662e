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

	"heatherhold.dev/core/courier"
)

// Framing is how a response shows where its body ends.
type Framing string

// The framings. Whether a body that ends with its connection is complete can only be told from how
// that ended and from what the body holds.
const (
	ByLength     Framing = "length"
	ByChunks     Framing = "chunks"
	ByConnection Framing = "connection"
)

// framingOf returns the framing of a response.
func framingOf(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return ByChunks
	case res.ContentLength < 0:
		return ByConnection
	}
	return ByLength
}

// Response is an endpoint's response. The caller must end it with Close or Discard.
type Response struct {
	Status int
	Header http.Header
	// Framing is how the response shows where its body ends.
	Framing Framing
	// Reused is set if the connection had carried other exchanges before: a response that
	// names no request may be a late one to one of them.
	Reused bool

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
func (r *Response) send(req Request) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URI, req.Host)
	// Writing to a buffer can't fail.
	_ = req.Header.Write(&b)
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if b.Len()+len(req.Body) <= singleWriteLimit {
		b.Write(req.Body)
		_, err := r.conn.Write(b.Bytes())
		r.writeDone <- err
		return err
	}
	// The endpoint may respond before it has read a long body, so the body is
	// written concurrently with the wait for the response, and without a copy.
	buffers := net.Buffers{b.Bytes(), req.Body}
	var group sync.WaitGroup
	group.Go(func() {
		_, err := buffers.WriteTo(r.conn.Conn)
		r.writeDone <- err
	})
	return nil
}

// singleWriteLimit is a number of bytes that certainly fits into a connection's
// buffers, so that the write doesn't block even if the endpoint reads nothing.
const singleWriteLimit = 16 << 10

// receive reads the header of the response to req. It skips interim responses, and
// responses to other requests, which an endpoint may have left on the connection.
func (r *Response) receive(req Request) error {
	for range maxOtherResponses {
		r.conn.limitReads(maxHeaderBytes)
		res, err := http.ReadResponse(r.conn.reader, &http.Request{Method: req.Method})
		r.conn.removeReadLimit()
		if err != nil {
			return err
		}
		if courier.IsInterimStatus(res.StatusCode) {
			_ = res.Body.Close()
			continue
		}
		if !courier.IsFinalStatus(res.StatusCode) {
			return errors.Errorf("the endpoint sent status %d, which no response has", res.StatusCode)
		}
		if !req.Matches(res.StatusCode, res.Header) {
			r.skippedOther = true
			if err := r.discardBody(res.Body); err != nil {
				return err
			}
			continue
		}
		r.Status = res.StatusCode
		r.Header = res.Header
		r.Framing = framingOf(res)
		r.body = res.Body
		r.closeAfter = res.Close
		return nil
	}
	return errors.New("the endpoint sent only interim responses or responses to other requests")
}

// discardBody reads and discards the body of a response to another request.
func (r *Response) discardBody(body io.Reader) error {
	r.conn.limitReads(maxOtherBodyBytes)
	defer r.conn.removeReadLimit()
	_, err := io.Copy(io.Discard, body)
	return err
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := r.writeError(); writeErr != nil {
			return n, errors.Wrap(writeErr, "the connection ended while the request was written")
		}
		r.complete = true
	}
	return n, err
}

// resetDelay is how long after the end of a connection the error of a write may follow.
const resetDelay = 50 * time.Millisecond

// writeError returns the error with which the writing of the request has failed, if the body ends with its
// connection. The system reports a reset once: if a write got it, a read finds an ordinary end. An endpoint
// that has ended its side and reads nothing more leaves the write pending, which is no error.
func (r *Response) writeError() error {
	if r.Framing != ByConnection {
		return nil
	}
	timer := time.NewTimer(resetDelay)
	defer timer.Stop()
	select {
	case err := <-r.writeDone:
		r.writeDone <- err
		return err
	case <-timer.C:
		return nil
	}
}

// SetDeadline sets the deadline for subsequent reads.
func (r *Response) SetDeadline(t time.Time) error {
	return r.conn.SetReadDeadline(t)
}

// Close ends the exchange. If the complete response was read and nothing of the
// exchange is outstanding, the connection is kept for reuse, for less than idle,
// the endpoint's idle timeout.
func (r *Response) Close(idle time.Duration) {
	if !r.reusable() || !r.stopCancel() {
		r.Discard()
		return
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	r.conn.idleDeadline = time.Now().Add(idle / idleDivisor)
	if err := r.conn.SetReadDeadline(time.Time{}); err != nil {
		r.Discard()
		return
	}
	r.exchanger.putIdle(r.conn)
}

func (r *Response) reusable() bool {
	if !r.complete || r.closeAfter || r.skippedOther || r.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.writeDone:
		return err == nil
	default:
		return false
	}
}

// Discard ends the exchange and closes the connection.
func (r *Response) Discard() {
	r.stopCancel()
	_ = r.conn.Close()
}
