// Package limiter serves callers' connections. It holds them to the timeouts in
// force, and tells of requests that ended before a handler ran: net/http answers
// or drops those by itself, and no one else sees them.
package limiter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/reporter"
)

const (
	// lineRate is how many lines a second tell of requests that were not taken
	// in, and lineBurst how many at once; all are counted.
	lineRate  = 10
	lineBurst = 50
	// headCeiling bounds the memory that a head takes, in bytes. It is far above
	// what operators declare; the handler holds each head to that.
	headCeiling = 1 << 20
)

// Limiter serves callers' connections. Make it with New and set the exported
// fields first.
type Limiter struct {
	Observer *observer.Observer
	Reporter *reporter.Reporter
	Log      logrus.FieldLogger
	// HeaderTimeout and IdleTimeout hold where no configuration sets others.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration

	lines *rate.Limiter
}

// New returns a limiter.
func New() *Limiter {
	return &Limiter{lines: rate.NewLimiter(lineRate, lineBurst)}
}

// connKey is where a request's context has its connection.
type connKey struct{}

// Server returns a server of h for the connections of Listen.
func (x *Limiter) Server(h http.Handler) *http.Server {
	return &http.Server{ //nolint:gosec // conn.Read sets the timeouts, since they change.
		MaxHeaderBytes: headCeiling,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c, ok := r.Context().Value(connKey{}).(*conn); ok {
				c.served = true
			}
			h.ServeHTTP(w, r)
		}),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*conn); ok {
				c.enter(state)
			}
		},
	}
}

// Listen returns l with the connections that Server needs.
func (x *Limiter) Listen(l net.Listener) net.Listener {
	return &listener{
		Listener: l,
		limiter:  x,
	}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn:    c,
		limiter: l.limiter,
		since:   time.Now(),
	}, nil
}

// headerTimeout is the longest time from a head's first byte to its last.
func (x *Limiter) headerTimeout() time.Duration {
	if site := x.Observer.View().Site; site != nil && site.Limits.HeaderTimeout > 0 {
		return site.Limits.HeaderTimeout
	}
	return x.HeaderTimeout
}

// idleTimeout is the longest wait for a request's first byte.
func (x *Limiter) idleTimeout() time.Duration {
	if site := x.Observer.View().Site; site != nil && site.Limits.IdleTimeout > 0 {
		return site.Limits.IdleTimeout
	}
	return x.IdleTimeout
}

// tell counts a request that ended before a handler ran, and logs what is known
// of it.
func (x *Limiter) tell(c *conn) {
	reason := c.reason()
	x.Reporter.NotTaken(reason)
	if !x.lines.Allow() {
		return
	}
	x.Log.WithFields(logrus.Fields{
		"caller":  c.RemoteAddr().String(),
		"reason":  reason,
		"status":  c.status,
		"line":    c.line(),
		"bytes":   c.size,
		"held-ms": time.Since(c.since).Milliseconds(),
	}).Warn("request not taken in")
}
