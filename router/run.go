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
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/administrator"
	"heatherhold.dev/router/claimer"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/server"
	"heatherhold.dev/router/sharer"
)

const (
	// stopSlack is the time that a planned stop may take in addition to
	// Stop.Notice and Stop.Finish.
	stopSlack     = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	departTimeout = 2 * time.Second
)

// daemonParams are the components that a daemon runs or uses.
type daemonParams struct {
	fx.In

	Settings   *loader.Settings
	Log        logrus.FieldLogger
	Loop       *executor.Loop
	Controller *controller.Controller
	Granter    *granter.Granter
	Acquirer   *acquirer.Acquirer
	Claimer    *claimer.Claimer
	Dialer     *dialer.Dialer
	Publisher  *publisher.Publisher
	Server     *server.Server
	// Connections limits the callers' connections.
	Connections   *limiter.Connections
	Administrator *administrator.Administrator
}

// daemon is a running router on a platform without a store.
type daemon struct {
	params daemonParams
	group  *errgroup.Group
	cancel context.CancelFunc
	caller *http.Server
}

// registerDaemon registers a daemon with the application's lifecycle. A stop has
// four steps: the instance reports that it is not ready, closes its listener for
// callers, lets the requests in flight finish, and ends the remaining components.
func registerDaemon(p daemonParams, lc fx.Lifecycle, shutdowner fx.Shutdowner) {
	d := &daemon{params: p}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return d.start(shutdowner) },
		OnStop:  d.stop,
	})
}

func (d *daemon) start(shutdowner fx.Shutdowner) error {
	p := d.params
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group, ctx = errgroup.WithContext(ctx)
	listeners, err := d.listen(ctx)
	if err != nil {
		cancel()
		return err
	}
	d.caller = newHTTPServer(p.Settings, p.Server.Handler(), closeConnectionsOnStop(p.Publisher))
	p.Connections.Attach(d.caller)
	operator := newHTTPServer(p.Settings, p.Administrator.Handler(), nil)
	d.group.Go(func() error { return p.Loop.Run(ctx) })
	d.group.Go(func() error { return p.Controller.Run(ctx) })
	d.group.Go(func() error { return p.Granter.Run(ctx) })
	d.group.Go(func() error { return p.Acquirer.Run(ctx) })
	d.group.Go(func() error { return p.Claimer.Run(ctx) })
	d.group.Go(func() error { return servePeers(ctx, listeners.peer, p.Controller, p.Granter, nil, p.Log) })
	d.group.Go(func() error { return serveHTTP(ctx, d.caller, listeners.caller) })
	d.group.Go(func() error { return serveHTTP(ctx, operator, listeners.operator) })
	d.group.Go(func() error { return shutDownOnFailure(ctx, p.Log, shutdowner) })
	p.Log.WithField("caller", p.Settings.Listen.Caller).WithField("site", p.Settings.Site).Info("serving")
	return nil
}

// shutDownOnFailure stops the application with exit code 1 if ctx is cancelled by
// the failure of a component.
func shutDownOnFailure(ctx context.Context, log logrus.FieldLogger, shutdowner fx.Shutdowner) error {
	<-ctx.Done()
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		log.WithError(cause).Error("a part failed; stopping")
		return shutdowner.Shutdown(fx.ExitCode(1))
	}
	return nil
}

type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
}

func (d *daemon) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var err error
	s := d.params.Settings
	if l.peer, err = d.params.Dialer.Listen(ctx, s.Listen.Peer); err != nil {
		return l, err
	}
	if l.caller, err = listenHTTP(ctx, s.Listen.Caller, "", ""); err != nil {
		return l, err
	}
	if l.caller, err = withTLS(d.params.Connections.Listen(l.caller), s.Caller.Certificate, s.Caller.Key); err != nil {
		return l, err
	}
	l.operator, err = listenHTTP(ctx, s.Listen.Operator, s.Operator.Certificate, s.Operator.Key)
	return l, err
}

func listenHTTP(ctx context.Context, address, certificate, key string) (net.Listener, error) {
	var listenConfig net.ListenConfig
	l, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for HTTP")
	}
	return withTLS(l, certificate, key)
}

// withTLS returns a listener that speaks TLS over l, or l if there is no certificate. It closes l if
// the certificate can't be used.
func withTLS(l net.Listener, certificate, key string) (net.Listener, error) {
	tlsConfig, err := serverTLS(certificate, key)
	if err != nil {
		// The listener has accepted nothing, and the router doesn't start.
		_ = l.Close()
		return nil, err
	}
	if tlsConfig == nil {
		return l, nil
	}
	return tls.NewListener(l, tlsConfig), nil
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

// closeConnectionsOnStop returns middleware that asks callers to close their
// connections once a stop has started, so that few are open when the listener closes.
func closeConnectionsOnStop(pub *publisher.Publisher) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if pub.Stopping() {
				w.Header().Set("Connection", "close")
			}
			next.ServeHTTP(w, r)
		})
	}
}

// serveHTTP serves connections of l until s is shut down. The end of ctx closes s.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// servePeers serves requests of the other instances until ctx ends.
func servePeers(ctx context.Context, l net.Listener, c *controller.Controller, g *granter.Granter, sh *sharer.Sharer, log logrus.FieldLogger) error {
	mux := drpcmux.New()
	err := messenger.DRPCRegisterPeer(mux, &peerService{
		controller: c,
		granter:    g,
		sharer:     sh,
	})
	if err != nil {
		return errors.Wrap(err, "register peer service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Log: func(err error) { logPeerError(log, err) },
	})
	return errors.Wrap(server.Serve(ctx, l), "serve peers")
}

// logPeerError logs the error with which a peer's connection ended. Bytes that are not
// of the protocol are a warning; connections also end when a peer stops.
func logPeerError(log logrus.FieldLogger, err error) {
	if drpc.ProtocolError.Has(err) {
		log.WithError(err).Warn("connection to the peers' port dropped; it sent bytes that are not of the protocol")
		return
	}
	log.WithError(err).Debug("connection of a peer ended with an error")
}

// peerService implements the RPC service that the other instances call.
type peerService struct {
	controller *controller.Controller
	granter    *granter.Granter
	// sharer is nil on platforms without a store.
	sharer *sharer.Sharer
}

// Tickets serves the ticket stream of another instance; this instance is the owner
// of the pool.
func (p *peerService) Tickets(s messenger.DRPCPeer_TicketsStream) error {
	return p.granter.Serve(s)
}

// Exchange handles a state exchange that a peer started.
func (p *peerService) Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	return p.controller.HandleExchange(ctx, r)
}

// Read returns what this instance knows of a table of the platform's store.
func (p *peerService) Read(ctx context.Context, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
	if p.sharer == nil {
		return &messenger.ReadReply{Unavailable: true}, nil
	}
	return p.sharer.Handle(ctx, r), nil
}

// stop performs a planned stop. It ends no request that finishes within Stop.Finish.
func (d *daemon) stop(ctx context.Context) error {
	p := d.params
	p.Log.Info("stopping: not ready for new work")
	if err := p.Controller.Leave(ctx); err != nil {
		p.Log.WithError(err).Warn("peers not told of the stop")
	}
	time.Sleep(p.Settings.Stop.Notice.Std())
	finishCtx, cancel := context.WithTimeout(ctx, p.Settings.Stop.Finish.Std())
	defer cancel()
	if err := d.caller.Shutdown(finishCtx); err != nil {
		d.endRequests(ctx)
	}
	departCtx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	if err := p.Controller.Withdraw(departCtx); err != nil {
		p.Log.WithError(err).Debug("not withdrawn")
	}
	d.cancel()
	err := d.group.Wait()
	p.Log.Info("stopped")
	return err
}

// endRequests ends the requests in flight, and waits for at most answerTime until their callers have
// been answered.
func (d *daemon) endRequests(ctx context.Context) {
	p := d.params
	p.Log.WithField("requests", p.Server.Active()).Warn("requests ended at the end of the time to finish")
	p.Server.EndActive()
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	if err := d.caller.Shutdown(ctx); err != nil && p.Server.Active() > 0 {
		p.Log.WithError(err).WithField("requests", p.Server.Active()).Error("requests cut off at the end of the time to finish")
	}
}
