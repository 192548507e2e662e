// Package exchanger makes HTTP exchanges with endpoints over connections that
// it keeps. It never repeats a request, follows nothing, and says after an
// error whether the request may have been read.
//
// A connection is kept only after an exchange that left nothing open: the
// request written whole, the answer read whole, and no byte beyond it.
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

// Errors of Open. After ErrNotSent no byte of the request left this process;
// after ErrLost the endpoint may have read it.
var (
	ErrNotSent = errors.New("the endpoint was not reached")
	ErrLost    = errors.New("the connection was lost")
)

const (
	// readBuffer is a size in bytes.
	readBuffer = 4096
	// headLimit bounds the head of an answer, in bytes.
	headLimit = 64 << 10
	// alienLimit is how many answers to other requests are passed over, and
	// alienBytes bounds the body of each.
	alienLimit = 4
	alienBytes = 4 << 20
	// detailLimit bounds what an error says, in bytes: it may quote the endpoint.
	detailLimit = 200
	// idleMargin is kept from the time for which an endpoint keeps an unused
	// connection, so that a request does not cross its close.
	idleMargin = 2
	// idleDefault is how long a connection is kept whose endpoint says nothing.
	idleDefault = 2 * time.Second
	// idlePerAddress bounds the unused connections to one address.
	idlePerAddress = 64
)

// Call is one request.
type Call struct {
	Address string
	Method  string
	Host    string
	// URI is path and query as they go on the wire.
	URI    string
	Header http.Header
	// Body must not be changed any more: it may be written beyond the answer's end.
	Body []byte
	// Mine reports whether an answer with these headers is to this request.
	Mine func(status int, h http.Header) bool
	// Fresh wants a connection that was not used before.
	Fresh bool
}

// Exchanger keeps connections. Set the exported fields first.
type Exchanger struct {
	// DialTimeout is the longest wait for a connection.
	DialTimeout time.Duration
	// Opened is called for each new connection; it may be nil.
	Opened func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// errTooLong says that a head, or an answer to another request, passed its bound.
var errTooLong = errors.New("the endpoint sends too much before the answer")

// conn is one connection with its reader.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	until   time.Time
	// bounded is set while left bounds the bytes that the reader may take in.
	bounded bool
	left    int
}

// bound lets the reader take n bytes in until it is bound anew or released.
func (k *conn) bound(n int) {
	k.bounded = true
	k.left = n
}

// release ends the bound.
func (k *conn) release() {
	k.bounded = false
}

// Read reads from the connection within the bound.
func (k *conn) Read(p []byte) (int, error) {
	if !k.bounded {
		return k.Conn.Read(p)
	}
	if k.left == 0 {
		return 0, errTooLong
	}
	n, err := k.Conn.Read(p[:min(len(p), k.left)])
	k.left -= n
	return n, err
}

// Open sends c and returns the answer once its headers are here. The deadline
// of ctx bounds the wait; when ctx ends the connection is closed.
func (x *Exchanger) Open(ctx context.Context, c Call) (*Answer, error) {
	k, err := x.take(ctx, c)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	a := &Answer{
		exchanger: x,
		conn:      k,
		written:   make(chan error, 1),
	}
	a.stop = context.AfterFunc(ctx, func() { _ = k.Close() })
	if err := a.send(c); err != nil {
		a.Discard()
		return nil, errors.Wrap(ErrLost, err.Error())
	}
	if err := a.receive(c); err != nil {
		a.Discard()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, errors.Wrap(ErrLost, short(err))
	}
	return a, nil
}

// short returns what err says, without most of what the endpoint sent.
func short(err error) string {
	text := err.Error()
	return text[:min(len(text), detailLimit)]
}

// take returns a kept connection that is still open, or a new one.
func (x *Exchanger) take(ctx context.Context, c Call) (*conn, error) {
	for !c.Fresh {
		k := x.pop(c.Address)
		if k == nil {
			break
		}
		if time.Now().Before(k.until) && quiet(k.Conn) {
			return k, nil
		}
		_ = k.Close()
	}
	d := net.Dialer{Timeout: x.DialTimeout}
	raw, err := d.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, err
	}
	if x.Opened != nil {
		x.Opened()
	}
	k := &conn{
		Conn:    raw,
		address: c.Address,
	}
	k.reader = bufio.NewReaderSize(k, readBuffer)
	return k, nil
}

// pop takes the connection that was used last.
func (x *Exchanger) pop(address string) *conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	kept := x.idle[address]
	if len(kept) == 0 {
		return nil
	}
	k := kept[len(kept)-1]
	x.idle[address] = kept[:len(kept)-1]
	return k
}

func (x *Exchanger) keep(k *conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.idle == nil {
		x.idle = make(map[string][]*conn)
	}
	if len(x.idle[k.address]) >= idlePerAddress {
		_ = k.Close()
		return
	}
	x.idle[k.address] = append(x.idle[k.address], k)
}

// Forget closes the unused connections to an address: one of them went silent,
// or the endpoint is gone.
func (x *Exchanger) Forget(address string) {
	x.mu.Lock()
	kept := x.idle[address]
	delete(x.idle, address)
	x.mu.Unlock()
	for _, k := range kept {
		_ = k.Close()
	}
}

// Sweep closes the unused connections whose time has passed, or that are closed
// or have something to read.
func (x *Exchanger) Sweep(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for address, kept := range x.idle {
		var rest []*conn
		for _, k := range kept {
			if now.Before(k.until) && quiet(k.Conn) {
				rest = append(rest, k)
				continue
			}
			_ = k.Close()
		}
		if len(rest) == 0 {
			delete(x.idle, address)
			continue
		}
		x.idle[address] = rest
	}
}
