package main

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/claimer"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/looper"
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/overseer"
	"heatherhold.dev/router/server"
)

const (
	// stopSlack is the time for a planned stop beyond notice and requests.
	stopSlack   = 10 * time.Second
	idleTimeout = 2 * time.Minute
	departLimit = 2 * time.Second
)

// parts is everything that runs.
type parts struct {
	fx.In

	Settings   *loader.Settings
	Log        logrus.FieldLogger
	Loop       *looper.Loop
	Controller *controller.Controller
	Granter    *granter.Granter
	Acquirer   *acquirer.Acquirer
	Claimer    *claimer.Claimer
	Dialer     *dialer.Dialer
	Observer   *observer.Observer
	Server     *server.Server
	Overseer   *overseer.Overseer
}

// daemon is a running router.
type daemon struct {
	parts  parts
	group  *errgroup.Group
	cancel context.CancelFunc
	caller *http.Server
}

// run starts all parts with the application and stops them in order: not ready
// first, then no new connections, then the requests in flight, then the rest.
func run(p parts, lc fx.Lifecycle, down fx.Shutdowner) {
	d := &daemon{parts: p}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return d.start(down) },
		OnStop:  d.stop,
	})
}

func (d *daemon) start(down fx.Shutdowner) error {
	p := d.parts
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group, ctx = errgroup.WithContext(ctx)
	listeners, err := d.listen(ctx)
	if err != nil {
		cancel()
		return err
	}
	d.caller = newHTTPServer(p.Settings, p.Server.Handler(), callerContext(p.Observer))
	operator := newHTTPServer(p.Settings, p.Overseer.Handler(), nil)
	d.group.Go(func() error { return p.Loop.Run(ctx) })
	d.group.Go(func() error { return p.Controller.Run(ctx) })
	d.group.Go(func() error { return p.Granter.Run(ctx) })
	d.group.Go(func() error { return p.Acquirer.Run(ctx) })
	d.group.Go(func() error { return p.Claimer.Run(ctx) })
	d.group.Go(func() error { return servePeers(ctx, listeners.peer, p.Controller, p.Granter) })
	d.group.Go(func() error { return serveHTTP(ctx, d.caller, listeners.caller) })
	d.group.Go(func() error { return serveHTTP(ctx, operator, listeners.operator) })
	d.group.Go(func() error { return watchParts(ctx, p.Log, down) })
	p.Log.WithField("caller", p.Settings.Listen.Caller).WithField("site", p.Settings.Site).Info("serving")
	return nil
}

// watchParts stops the application when a part has failed.
func watchParts(ctx context.Context, log logrus.FieldLogger, down fx.Shutdowner) error {
	<-ctx.Done()
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		log.WithError(cause).Error("a part failed; stopping")
		return down.Shutdown(fx.ExitCode(1))
	}
	return nil
}

// listeners are the open sockets.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
}

func (d *daemon) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var err error
	s := d.parts.Settings
	if l.peer, err = d.parts.Dialer.Listen(ctx, s.Listen.Peer); err != nil {
		return l, err
	}
	if l.caller, err = listenHTTP(ctx, s.Listen.Caller, s.Caller.Certificate, s.Caller.Key); err != nil {
		return l, err
	}
	l.operator, err = listenHTTP(ctx, s.Listen.Operator, s.Operator.Certificate, s.Operator.Key)
	return l, err
}

func listenHTTP(ctx context.Context, address, certificate, key string) (net.Listener, error) {
	config, err := serverTLS(certificate, key)
	if err != nil {
		return nil, err
	}
	var listen net.ListenConfig
	l, err := listen.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return l, nil
}

func newHTTPServer(s *loader.Settings, h http.Handler, wrap func(http.Handler) http.Handler) *http.Server {
	if wrap != nil {
		h = wrap(h)
	}
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: s.Caller.HeaderTimeout.Std(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.Caller.HeaderLimit,
	}
}

// callerContext tells callers to close idle connections once a stop has begun,
// so that few are open when the listener closes.
func callerContext(o *observer.Observer) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if o.Stopping() {
				w.Header().Set("Connection", "close")
			}
			next.ServeHTTP(w, r)
		})
	}
}

// serveHTTP serves until the server is shut down, or closed at the end of ctx.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// servePeers serves the other instances until ctx ends.
func servePeers(ctx context.Context, l net.Listener, c *controller.Controller, g *granter.Granter) error {
	mux := drpcmux.New()
	err := messenger.DRPCRegisterPeer(mux, &peer{
		controller: c,
		granter:    g,
	})
	if err != nil {
		return errors.Wrap(err, "register peer service")
	}
	return errors.Wrap(drpcserver.New(mux).Serve(ctx, l), "serve peers")
}

// peer is what the other instances call.
type peer struct {
	controller *controller.Controller
	granter    *granter.Granter
}

// Tickets serves one entry's conversation with this pool owner.
func (p *peer) Tickets(s messenger.DRPCPeer_TicketsStream) error {
	return p.granter.Serve(s)
}

// Exchange answers a peer's exchange.
func (p *peer) Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	return p.controller.Answer(ctx, r)
}

// stop is the planned stop: it cuts off no request.
func (d *daemon) stop(ctx context.Context) error {
	p := d.parts
	p.Log.Info("stopping: not ready for new work")
	if err := p.Controller.Leave(ctx); err != nil {
		p.Log.WithError(err).Warn("peers not told of the stop")
	}
	time.Sleep(p.Settings.Stop.Notice.Std())
	finish, cancel := context.WithTimeout(ctx, p.Settings.Stop.Finish.Std())
	defer cancel()
	if err := d.caller.Shutdown(finish); err != nil {
		p.Log.WithError(err).WithField("requests", p.Server.Active()).Error("requests cut off at the end of the time to finish")
	}
	depart, cancel := context.WithTimeout(ctx, departLimit)
	defer cancel()
	if err := p.Controller.Depart(depart); err != nil {
		p.Log.WithError(err).Debug("not withdrawn")
	}
	d.cancel()
	err := d.group.Wait()
	p.Log.Info("stopped")
	return err
}
