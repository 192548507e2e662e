// Package exchanger makes HTTP exchanges with endpoints over persistent
// connections. It never retries a request and never follows a redirect, and its
// errors say whether the endpoint may have read the request.
//
// A connection is kept for reuse only after a complete exchange: the request was
// written and the response read to the end, and no byte follows the response.
package exchanger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of Open. After ErrNotSent no byte of the request has left this process;
// after ErrLost the endpoint may have read the request.
var (
	ErrNotSent = errors.New("could not connect to the endpoint")
	ErrLost    = errors.New("the connection to the endpoint was lost")
)

const (
	// readBufferSize is in bytes.
	readBufferSize = 4096
	// maxHeaderBytes limits a response's status line and header fields.
	maxHeaderBytes = 64 << 10
	// maxOtherResponses limits the responses that are read to find the one to the
	// request: interim responses and responses to other requests may come before it.
	// maxOtherBodyBytes limits the body of each response to another request.
	maxOtherResponses = 4
	maxOtherBodyBytes = 4 << 20
	// maxErrorBytes limits the text of an error, which may quote what the endpoint
	// sent.
	maxErrorBytes = 200
	// idleDivisor divides the time for which an endpoint keeps an idle connection.
	// The connection is reused only within that shorter time, so that a request is
	// not sent while the endpoint closes it.
	idleDivisor = 2
	// defaultIdleTimeout applies if the endpoint states no idle timeout.
	defaultIdleTimeout = 2 * time.Second
	// maxIdlePerAddress limits the idle connections to one address.
	maxIdlePerAddress = 64
)

// Request is one request.
type Request struct {
	Address string
	Method  string
	Host    string
	// URI is the path and the query as sent.
	URI    string
	Header http.Header
	// Body must not be modified, even after the end of the response: it may still
	// be being written.
	Body []byte
	// Matches reports whether a response with this status and header belongs to this
	// request.
	Matches func(status int, h http.Header) bool
	// NewConn requires a new connection. It must be set if the same request was sent to the
	// address before: a late response to it could not be told from one to this request.
	NewConn bool
}

// Exchanger makes exchanges and keeps idle connections. Set the exported fields
// before use.
type Exchanger struct {
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// OnConnOpened is called for each new connection; it may be nil.
	OnConnOpened func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// errResponseTooLarge reports that a response header, or the body of a response to
// another request, exceeds its limit.
var errResponseTooLarge = errors.New("the endpoint sent too many bytes before the response body")

// conn is a connection and its buffered reader.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// used is set once an exchange on the connection has ended.
	used bool
	// idleDeadline is the time until which the idle connection may be reused.
	idleDeadline time.Time
	// limited is set while reader may read at most remaining bytes from the
	// connection.
	limited   bool
	remaining int
}

// limitReads allows n more bytes to be read from the connection until the next call
// of limitReads or removeReadLimit.
func (c *conn) limitReads(n int) {
	c.limited = true
	c.remaining = n
}

// removeReadLimit removes the limit set by limitReads.
func (c *conn) removeReadLimit() {
	c.limited = false
}

// Read reads from the connection within the limit.
func (c *conn) Read(p []byte) (int, error) {
	if !c.limited {
		return c.Conn.Read(p)
	}
	if c.remaining == 0 {
		return 0, errResponseTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, err
}

// Open sends req and returns the response once its header has been read. When ctx is
// done, by its deadline or otherwise, the connection is closed.
func (x *Exchanger) Open(ctx context.Context, req Request) (*Response, error) {
	c, err := x.acquireConn(ctx, req)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	response := &Response{
		exchanger: x,
		conn:      c,
		Reused:    c.used,
		writeDone: make(chan error, 1),
	}
	response.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := response.send(req); err != nil {
		response.Discard()
		return nil, errors.Wrap(ErrLost, err.Error())
	}
	if err := response.receive(req); err != nil {
		response.Discard()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, errors.Wrap(ErrLost, truncatedText(err))
	}
	return response, nil
}

// truncatedText returns the text of err cut to maxErrorBytes, since it may contain a
// lot of data from the endpoint.
func truncatedText(err error) string {
	text := err.Error()
	return text[:min(len(text), maxErrorBytes)]
}

// acquireConn returns an idle connection that is still usable, or a new one.
func (x *Exchanger) acquireConn(ctx context.Context, req Request) (*conn, error) {
	for !req.NewConn {
		c := x.popIdle(req.Address)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleDeadline) && isIdle(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := x.dial(ctx, req.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{
		Conn:    raw,
		address: req.Address,
	}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// dial opens a new connection.
func (x *Exchanger) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: x.DialTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil && x.OnConnOpened != nil {
		x.OnConnOpened()
	}
	return c, err
}

// Probe opens a connection to an address and closes it at once.
func (x *Exchanger) Probe(ctx context.Context, address string) error {
	c, err := x.dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// popIdle removes and returns the most recently used idle connection to address, or
// nil if there is none.
func (x *Exchanger) popIdle(address string) *conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	conns := x.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	x.idle[address] = conns[:len(conns)-1]
	return c
}

// putIdle adds c to the idle connections, or closes it if there are too many.
func (x *Exchanger) putIdle(c *conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.idle == nil {
		x.idle = make(map[string][]*conn)
	}
	c.used = true
	if len(x.idle[c.address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	x.idle[c.address] = append(x.idle[c.address], c)
}

// CloseIdle closes the idle connections to an address. It is called if one of the
// connections timed out or failed, or if the endpoint has been removed.
func (x *Exchanger) CloseIdle(address string) {
	x.mu.Lock()
	conns := x.idle[address]
	delete(x.idle, address)
	x.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections whose idle deadline has passed, which the
// endpoint has closed, or which have unread data.
func (x *Exchanger) CloseExpired(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for address, conns := range x.idle {
		var usable []*conn
		for _, c := range conns {
			if now.Before(c.idleDeadline) && isIdle(c.Conn) {
				usable = append(usable, c)
				continue
			}
			_ = c.Close()
		}
		if len(usable) == 0 {
			delete(x.idle, address)
			continue
		}
		x.idle[address] = usable
	}
}
