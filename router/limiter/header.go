package limiter

import (
	"errors"
	"io"
	"time"
)

const (
	// headerSlack is how far the bytes of a header may exceed the declared limit, in bytes. The
	// handler checks the limit itself; net/http reads up to this many bytes beyond the header, and
	// the request line counts separately.
	headerSlack = 4 << 10
	// minHeaderLine is the average length of a header's lines below which the header is refused, in
	// bytes. A field costs some 100 bytes of memory however short it is.
	minHeaderLine = 32
	// minHeaderLines is the number of lines that a header may have at any limit.
	minHeaderLines = 256
	// lingerTime and lingerBytes bound how much of a refused header is still read. Without that, a
	// caller that sends the rest would lose the response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// errHeaderTooLarge ends the reading of a header that was refused.
var errHeaderTooLarge = errors.New("the header exceeds the size limit")

// tooLargeResponse is the response to a header that exceeds the limit before its end. The request did
// not run.
const tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// headerLimit returns the largest size of a header, in bytes.
func (x *Limiter) headerLimit() int {
	if site := x.Publisher.View().Site; site != nil && site.Limits.HeaderBytes > 0 {
		return site.Limits.HeaderBytes
	}
	return maxHeaderBytes
}

// headerBytesLeft returns how many more bytes may be read of a header whose end has not been read.
func (c *conn) headerBytesLeft() int {
	limit := c.limiter.headerLimit()
	if c.headerLines > max(limit/minHeaderLine, minHeaderLines) {
		return 0
	}
	return limit + headerSlack - c.headerBytes
}

// refuseHeader responds to a header that exceeds the limit, and reads on for a moment without keeping
// what it reads. It returns an error.
func (c *conn) refuseHeader() error {
	if c.refused {
		return errHeaderTooLarge
	}
	_, err := c.Write([]byte(tooLargeResponse))
	c.refused = true
	if err != nil {
		return err
	}
	if err := c.CloseWrite(); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return err
	}
	// The caller stops, closes or goes on; the connection is closed in any case.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	return errHeaderTooLarge
}
