// Package limiter serves callers' connections. It applies the current timeouts, and
// logs and counts requests that ended before a handler ran: net/http responds to those
// or drops them by itself, so nothing else in the router sees them.
package limiter

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/reporter"
)

const (
	// logRate limits the log lines per second for requests that ended before a
	// handler ran, and logBurst the lines at once. All such requests are counted.
	logRate  = 10
	logBurst = 50
	// maxHeaderBytes limits the memory used by a request header where no limit is
	// declared, in bytes. A router that has no configuration yet can't know the limit.
	maxHeaderBytes = 1 << 20
)

// Limiter serves callers' connections. Create it with New and set the exported fields
// before use.
type Limiter struct {
	Publisher *publisher.Publisher
	Reporter  *reporter.Reporter
	Log       logrus.FieldLogger
	// HeaderTimeout and IdleTimeout apply if the configuration sets none.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration

	logLimiter *rate.Limiter

	mu sync.Mutex
	// open is the set of open connections.
	open map[*conn]bool
}

// New returns a Limiter whose exported fields are not set.
func New() *Limiter {
	return &Limiter{
		logLimiter: rate.NewLimiter(logRate, logBurst),
		open:       make(map[*conn]bool),
	}
}

func (x *Limiter) add(c *conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open[c] = true
}

func (x *Limiter) remove(c *conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.open, c)
}

// conns returns the open connections.
func (x *Limiter) conns() []*conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Collect(maps.Keys(x.open))
}

// drainInterval is how often Drain checks the connections.
const drainInterval = 10 * time.Millisecond

// Drain closes each connection before its next request, and returns once none is open or ctx has
// ended. The listener must be closed. Unlike http.Server.Shutdown, which must not be called before,
// it leaves a connection open on which a part of a request was read.
func (x *Limiter) Drain(ctx context.Context) error {
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for {
		open := x.conns()
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			c.drain()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// Server returns a server of h for connections accepted from a listener of Listen.
func (x *Limiter) Server(h http.Handler) *http.Server {
	return &http.Server{ //nolint:gosec // conn.Read sets the timeouts, because they can change.
		MaxHeaderBytes: maxHeaderBytes,
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
				c.setState(state)
			}
		},
	}
}

// Listen returns a listener that wraps the connections of l as Server needs them.
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
	out := &conn{
		Conn:    c,
		limiter: l.limiter,
		since:   time.Now(),
	}
	l.limiter.add(out)
	return out, nil
}

// headerTimeout returns the longest time from a header's first byte to its last.
func (x *Limiter) headerTimeout() time.Duration {
	if site := x.Publisher.View().Site; site != nil && site.Limits.HeaderTimeout > 0 {
		return site.Limits.HeaderTimeout
	}
	return x.HeaderTimeout
}

// idleTimeout returns the longest wait for a request's first byte.
func (x *Limiter) idleTimeout() time.Duration {
	if site := x.Publisher.View().Site; site != nil && site.Limits.IdleTimeout > 0 {
		return site.Limits.IdleTimeout
	}
	return x.IdleTimeout
}

// reportUnserved counts a request that ended before a handler ran and, within the log
// rate, logs it.
func (x *Limiter) reportUnserved(c *conn) {
	reason := c.reason()
	x.Reporter.CountUnserved(reason)
	if !x.logLimiter.Allow() {
		return
	}
	x.Log.WithFields(logrus.Fields{
		"caller":  c.RemoteAddr().String(),
		"reason":  reason,
		"status":  c.status,
		"line":    c.methodAndPath(),
		"bytes":   c.headerBytes,
		"held-ms": time.Since(c.since).Milliseconds(),
	}).Warn("request not taken in")
}
