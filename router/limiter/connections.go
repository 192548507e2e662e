package limiter

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"heatherhold.dev/router/reporter"
)

// connState is what a connection is used for.
type connState int32

const (
	// connIdle is the state of a connection that has received nothing of its next request.
	connIdle connState = iota
	// connReceiving is the state while the header of a request arrives.
	connReceiving
	// connBody is the state while the body of a request arrives, from the end of its header.
	connBody
	// connServing is the state from the end of a request to the end of the response.
	connServing
	connStates
)

// The reasons for which a connection is closed over the limit: it is idle, its header or its body is
// arriving, or it is new and all others are being served.
const (
	dropIdle   = "idle"
	dropHeader = "header"
	dropBody   = "body"
	dropNew    = "new"
)

// Connections limits the number of open connections. Over the limit, it closes the connection that has
// waited longest for its caller: idle, since the first byte of a header, or since the last one of a body that is
// not complete. If all are being served, it closes the new one. Create it with NewConnections and set the
// exported fields before use.
type Connections struct {
	// Max is the largest number of connections; 0 means no limit.
	Max      int
	Reporter *reporter.Reporter
	Log      logrus.FieldLogger

	logLimiter *rate.Limiter

	mu sync.Mutex
	// open has the connections in each state, in the order in which they came to it.
	open [connStates]*list.List
}

// NewConnections returns a Connections whose exported fields are not set.
func NewConnections() *Connections {
	x := &Connections{logLimiter: rate.NewLimiter(logRate, logBurst)}
	for i := range x.open {
		x.open[i] = list.New()
	}
	return x
}

// Len returns the number of open connections.
func (x *Connections) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lenLocked()
}

func (x *Connections) lenLocked() int {
	n := 0
	for _, l := range x.open {
		n += l.Len()
	}
	return n
}

// countedConn is a connection that counts towards the limit.
type countedConn struct {
	net.Conn
	connections *Connections
	state       atomic.Int32
	// dropped is set once the connection was closed because of the limit.
	dropped atomic.Bool
	// element is nil once the connection is closed. It and since are guarded by Connections.mu.
	element *list.Element
	// since is when the connection came to its state or, in connBody, received its last byte.
	since time.Time
}

// Read reads from the connection. The first byte begins a request's header.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && connState(c.state.Load()) == connIdle {
		c.connections.setState(c, connReceiving)
	}
	return n, err
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.connections.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (x *Connections) setState(c *countedConn, state connState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.element == nil {
		return
	}
	x.open[c.state.Load()].Remove(c.element)
	x.insert(c, state)
}

func (x *Connections) insert(c *countedConn, state connState) {
	c.since = time.Now()
	c.state.Store(int32(state))
	c.element = x.open[state].PushBack(c)
}

func (x *Connections) remove(c *countedConn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.element != nil {
		x.open[c.state.Load()].Remove(c.element)
		c.element = nil
	}
}

// add counts c, for which it may close another connection or c itself. It returns nil if it has
// closed c.
func (x *Connections) add(c net.Conn) *countedConn {
	out := &countedConn{
		Conn:        c,
		connections: x,
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.Max > 0 && x.lenLocked() >= x.Max && !x.makeRoom() {
		out.since = time.Now()
		x.report(out, dropNew)
		// The caller is closed out in any case; an error changes nothing.
		_ = c.Close()
		return nil
	}
	x.insert(out, connIdle)
	return out
}

// dropReasons are the states in which a connection may be closed over the limit, and the reasons for it.
var dropReasons = []string{connIdle: dropIdle, connReceiving: dropHeader, connBody: dropBody}

// makeRoom closes the connection that has waited longest for bytes of its caller. It returns false if all are
// being served.
func (x *Connections) makeRoom() bool {
	var victim *countedConn
	for state := range dropReasons {
		if first := x.open[state].Front(); first != nil {
			if c := first.Value.(*countedConn); victim == nil || c.since.Before(victim.since) {
				victim = c
			}
		}
	}
	if victim == nil {
		return false
	}
	state := victim.state.Load()
	x.open[state].Remove(victim.element)
	victim.element = nil
	victim.dropped.Store(true)
	x.report(victim, dropReasons[state])
	// net/http sees the closed connection at its next read; an error changes nothing.
	_ = victim.Conn.Close()
	return true
}

func (x *Connections) report(c *countedConn, reason string) {
	x.Reporter.CountConnectionDropped(reason)
	if !x.logLimiter.Allow() {
		return
	}
	x.Log.WithFields(logrus.Fields{
		"caller":      c.RemoteAddr().String(),
		"reason":      reason,
		"state-ms":    time.Since(c.since).Milliseconds(),
		"connections": x.lenLocked(),
	}).Warn("connection of a caller closed; too many are open")
}

// countedBody is the body of a request whose connection counts towards the limit.
type countedBody struct {
	io.ReadCloser
	conn *countedConn
}

// Read reads from the body. Its end begins the time in which the connection is kept. A body whose
// connection was closed for the limit has no end, so that its request is not served.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	state := connBody
	if errors.Is(err, io.EOF) {
		state = connServing
	}
	if n > 0 || state == connServing {
		b.conn.connections.setState(b.conn, state)
	}
	if state == connServing && b.conn.dropped.Load() {
		return n, net.ErrClosed
	}
	return n, err
}

// Listen returns a listener that counts the connections of l.
func (x *Connections) Listen(l net.Listener) net.Listener {
	return &countingListener{
		Listener:    l,
		connections: x,
	}
}

type countingListener struct {
	net.Listener
	connections *Connections
}

// Accept returns the next connection that is not closed at once because of the limit.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if out := l.connections.add(c); out != nil {
			return out, nil
		}
	}
}

// countedKey is the key of the counted connection in a request's context.
type countedKey struct{}

// Attach makes s, which serves connections accepted from a listener of Listen, report what they are used
// for. No request is served whose connection was closed because of the limit.
func (x *Connections) Attach(s *http.Server) {
	handler, connContext, connStateHook := s.Handler, s.ConnContext, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(countedKey{}).(*countedConn)
		if ok && c != nil && r.ContentLength != 0 {
			x.setState(c, connBody)
			// net/http looks at the body of its own request to see what is left of it.
			r = r.WithContext(r.Context())
			r.Body = &countedBody{
				ReadCloser: r.Body,
				conn:       c,
			}
		}
		if ok && c != nil && c.dropped.Load() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, countedKey{}, counted(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own := counted(c); own != nil && state == http.StateActive {
			x.setState(own, connServing)
		} else if own != nil && state == http.StateIdle {
			x.setState(own, connIdle)
		}
		if connStateHook != nil {
			connStateHook(c, state)
		}
	}
}

// counted returns the counted connection below c, nil if there is none.
func counted(c net.Conn) *countedConn {
	for {
		switch v := c.(type) {
		case *countedConn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}
