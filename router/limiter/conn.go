package limiter

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"time"
)

// lineLimit is how much of a request's first line is kept for the log, in bytes.
const lineLimit = 120

// phase is how far a connection's next request has come.
type phase int

const (
	// waiting is before a request's first byte.
	waiting phase = iota
	// reading is while its head comes.
	reading
	// judged is after net/http has understood the head, or given it up.
	judged
)

// conn is a caller's connection. Its fields are used by the connection's own
// goroutine; while a handler runs, another one waits for the next byte and uses
// only the phase, which stays as it is meanwhile, and ahead.
type conn struct {
	net.Conn
	limiter *Limiter

	phase phase
	// since is when the phase began; size is what came of the head, start the
	// first bytes of it, and err how the last read ended.
	since time.Time
	size  int
	start []byte
	err   error
	// ahead is the next request's first byte, if it came while a handler ran.
	ahead []byte
	// status is what was answered without a handler.
	status string
	// served is set once a handler has run.
	served bool
}

// enter follows what net/http tells of the connection.
func (c *conn) enter(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.phase = judged
	case http.StateIdle:
		c.phase = waiting
		c.since = time.Now()
		c.size = 0
		c.start = c.start[:0]
		c.status = ""
		c.served = false
		c.note(c.ahead, nil)
		c.ahead = c.ahead[:0]
	case http.StateClosed:
		if c.phase != waiting && !c.served {
			c.limiter.tell(c)
		}
	case http.StateNew, http.StateHijacked:
	}
}

// Read reads, and notes what belongs to a request's head.
func (c *conn) Read(p []byte) (int, error) {
	if c.phase == judged {
		n, err := c.Conn.Read(p)
		if len(p) == 1 {
			// net/http reads a body through a larger buffer.
			c.ahead = append(c.ahead, p[:n]...)
		}
		return n, err
	}
	n, err := c.read(p)
	c.note(p[:n], err)
	if c.phase == reading && timedOut(err) {
		return n, c.giveUp(err)
	}
	return n, err
}

// late answers a head that did not come in time: the request did not run.
const late = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// giveUp answers a head that did not come in time. net/http by itself would close
// the connection, or say 400 if the head stops in the middle of a line.
func (c *conn) giveUp(err error) error {
	if _, failed := c.Write([]byte(late)); failed != nil {
		return failed
	}
	return err
}

// read reads within the timeouts in force. A read that meets the end of its time
// goes on if a configuration has come meanwhile that gives it more.
func (c *conn) read(p []byte) (int, error) {
	for {
		if err := c.SetReadDeadline(c.end()); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !timedOut(err) || !time.Now().Before(c.end()) {
			return n, err
		}
	}
}

// end returns when the wait for a request, or for its head, is over.
func (c *conn) end() time.Time {
	if c.phase == waiting {
		return c.since.Add(c.limiter.idleTimeout())
	}
	return c.since.Add(c.limiter.headerTimeout())
}

func timedOut(err error) bool {
	var fault net.Error
	return errors.As(err, &fault) && fault.Timeout()
}

func (c *conn) note(p []byte, err error) {
	c.err = err
	if len(p) == 0 {
		return
	}
	if c.phase == waiting {
		c.phase = reading
		c.since = time.Now()
	}
	c.size += len(p)
	c.start = append(c.start, p[:min(len(p), lineLimit-len(c.start))]...)
}

// statusStart and statusEnd are where the status stands in the first line of
// an answer.
const (
	statusStart = len("HTTP/1.1 ")
	statusEnd   = len("HTTP/1.1 400")
)

// Write writes, and notes the status of an answer that is no handler's. After
// late nothing more is written.
func (c *conn) Write(p []byte) (int, error) {
	if !c.served && c.status != "" && timedOut(c.err) {
		return len(p), nil
	}
	if !c.served && len(p) >= statusEnd {
		c.status = string(p[statusStart:statusEnd])
	}
	return c.Conn.Write(p)
}

// CloseWrite ends the answers; net/http does so to let callers read the last one.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// reason says why a request ended before a handler ran: the connection failed,
// or else the status that net/http answered.
func (c *conn) reason() string {
	switch {
	case errors.Is(c.err, net.ErrClosed):
		return "stopping"
	case timedOut(c.err):
		return "timeout"
	case c.err != nil:
		return "caller"
	case c.status != "":
		return c.status
	}
	return "stopping"
}

// line returns the request's method and path, as far as they came and are kept.
func (c *conn) line() string {
	line := c.start
	if i := bytes.IndexAny(line, "?\r\n"); i >= 0 {
		line = line[:i]
	}
	return string(line)
}
