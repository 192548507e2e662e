package limiter

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxLogLineBytes is how much of the request line is kept for the log, in bytes.
const maxLogLineBytes = 120

// phase is the progress of the next request on a connection.
type phase int

const (
	// waiting is the phase before a request's first byte.
	waiting phase = iota
	// reading is the phase in which the request header is read.
	reading
	// parsed is the phase after net/http has parsed or rejected the header.
	parsed
)

// conn is a caller's connection. Its fields are used by the connection's own
// goroutine, those behind mu also by Limiter.Drain. While a handler runs, another goroutine waits
// for the next byte; it uses only readAhead and phase, and phase doesn't change meanwhile.
type conn struct {
	net.Conn
	limiter *Limiter

	mu    sync.Mutex
	phase phase
	// since is when the waiting or reading phase began.
	since time.Time
	// kept is set once a request has been served, and draining once the connection is to be closed
	// before the next one.
	kept     bool
	draining bool

	// headerBytes is the number of bytes of the header read so far, firstBytes holds the first of
	// them, and readErr is the error of the last read.
	headerBytes int
	// headerLines is the number of line ends in the header so far.
	headerLines int
	firstBytes  []byte
	readErr     error
	// readAhead holds the next request's first byte if it arrived while a handler
	// ran.
	readAhead []byte
	// status is the status code of a response that was sent without a handler.
	status string
	// refused is set once the header was refused because of its size.
	refused bool
	// served is set when a handler is called for the request.
	served bool
}

// setState updates c when net/http reports a new state of the connection.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.setPhase(parsed)
	case http.StateIdle:
		c.kept = true
		c.setPhase(waiting)
		c.headerBytes = 0
		c.headerLines = 0
		c.firstBytes = c.firstBytes[:0]
		c.status = ""
		c.served = false
		if own := counted(c); own != nil && len(c.readAhead) > 0 {
			own.connections.setState(own, connReceiving)
		}
		c.recordRead(c.readAhead, nil)
		c.readAhead = c.readAhead[:0]
	case http.StateClosed:
		if c.phase != waiting && !c.served {
			c.limiter.reportUnserved(c)
		}
	case http.StateNew, http.StateHijacked:
	}
}

// setPhase sets the phase, which begins now.
func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	c.since = time.Now()
}

// drain makes c close before its next request. It interrupts the wait for that request, but a
// request whose first byte was read is served.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.phase == waiting {
		// If it fails, the connection is closed already.
		_ = c.SetReadDeadline(c.readDeadlineLocked())
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

// Read reads from the connection and records the bytes of a request header.
func (c *conn) Read(p []byte) (int, error) {
	if c.phase == parsed {
		n, err := c.Conn.Read(p)
		if len(p) == 1 {
			// Only net/http's background read for the next request uses a buffer of
			// 1 byte; it reads a body through a larger one.
			c.readAhead = append(c.readAhead, p[:n]...)
		}
		return n, err
	}
	left := c.headerBytesLeft()
	if left <= 0 {
		return 0, c.refuseHeader()
	}
	n, err := c.readUntilDeadline(p[:min(len(p), left)])
	c.recordRead(p[:n], err)
	if c.phase == reading && timedOut(err) {
		return n, c.writeTimeoutResponse(err)
	}
	return n, err
}

// timeoutResponse is the response to a request whose header did not arrive in time.
// The request did not run.
const timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// writeTimeoutResponse responds to a header that did not arrive in time. Without this
// response net/http would close the connection, or respond 400 if the header stops in
// the middle of a line. It returns err or, if the write fails, the error of the write.
func (c *conn) writeTimeoutResponse(err error) error {
	if _, writeErr := c.Write([]byte(timeoutResponse)); writeErr != nil {
		return writeErr
	}
	return err
}

// readUntilDeadline reads within the timeouts in force. If a read times out and the
// configuration has changed to a longer timeout in the meantime, it reads again.
func (c *conn) readUntilDeadline(p []byte) (int, error) {
	for {
		if err := c.SetReadDeadline(c.readDeadline()); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !timedOut(err) || !time.Now().Before(c.readDeadline()) {
			return n, err
		}
	}
}

// readDeadline returns the deadline for a request's first byte while waiting,
// otherwise for the end of its header.
func (c *conn) readDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readDeadlineLocked()
}

// firstRequestTime is how long a new connection whose caller has not sent anything yet stays open
// while connections are drained.
const firstRequestTime = time.Second

func (c *conn) readDeadlineLocked() time.Time {
	switch {
	case c.phase != waiting:
		return c.since.Add(c.limiter.headerTimeout())
	case !c.draining:
		return c.since.Add(c.limiter.idleTimeout())
	case c.kept:
		return c.since
	}
	return c.since.Add(min(firstRequestTime, c.limiter.idleTimeout()))
}

func timedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// recordRead records the result of a read. The first byte of a request starts the
// reading phase.
func (c *conn) recordRead(p []byte, err error) {
	c.readErr = err
	if len(p) == 0 {
		return
	}
	if c.phase == waiting {
		c.setPhase(reading)
	}
	c.headerBytes += len(p)
	c.headerLines += bytes.Count(p, []byte("\n"))
	c.firstBytes = append(c.firstBytes, p[:min(len(p), maxLogLineBytes-len(c.firstBytes))]...)
}

// statusStart and statusEnd are the offsets of the status code in the status line of
// a response.
const (
	statusStart = len("HTTP/1.1 ")
	statusEnd   = len("HTTP/1.1 400")
)

// Write writes to the connection and records the status of a response that no handler
// wrote. After timeoutResponse or tooLargeResponse it discards what net/http writes.
func (c *conn) Write(p []byte) (int, error) {
	if c.refused {
		return len(p), nil
	}
	if !c.served && c.status != "" && timedOut(c.readErr) {
		return len(p), nil
	}
	if !c.served && len(p) >= statusEnd {
		c.status = string(p[statusStart:statusEnd])
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side. net/http calls it so that callers can read the
// last response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// reason returns why a request ended before a handler ran: "connections" if too many were open,
// how the connection failed, the status that net/http responded with, or "stopping" if the
// server closed the connection without a response.
func (c *conn) reason() string {
	own := counted(c)
	switch {
	case own != nil && own.dropped.Load():
		return "connections"
	case errors.Is(c.readErr, net.ErrClosed):
		return "stopping"
	case timedOut(c.readErr):
		return "timeout"
	case c.readErr != nil:
		return "caller"
	case c.status != "":
		return c.status
	}
	return "stopping"
}

// methodAndPath returns the request's method and path, as far as they were received
// and recorded; it omits the query.
func (c *conn) methodAndPath() string {
	line := c.firstBytes
	if i := bytes.IndexAny(line, "?\r\n"); i >= 0 {
		line = line[:i]
	}
	return string(line)
}
