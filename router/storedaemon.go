package main

import (
	"context"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/administrator"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/proxier"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/quarantiner"
	"heatherhold.dev/router/receiver"
	"heatherhold.dev/router/reconciler"
	"heatherhold.dev/router/reporter"
	"heatherhold.dev/router/sharer"
)

const (
	// sweepInterval is how often idle connections to endpoints are checked.
	sweepInterval = time.Second
	// runtimeMemoryShare is the share of the instance's memory that the Go runtime may
	// use: its soft memory limit.
	runtimeMemoryShare = 0.7
	// stopMargin is the part of Stop.Finish, the time that the platform grants
	// for a stop, that is reserved for the steps after the last request. The following
	// constants limit these steps.
	stopMargin = 700 * time.Millisecond
	// answerTime is the time for the error responses to requests that have not ended.
	answerTime = 200 * time.Millisecond
	// goodbyeTime is the time to notify the peers that the instance is gone.
	goodbyeTime = 250 * time.Millisecond
	// componentTime is the time for the components to end.
	componentTime = 150 * time.Millisecond
)

// storeDaemonParams are the components that a storeDaemon runs or uses.
type storeDaemonParams struct {
	fx.In

	Settings   *loader.Settings
	Log        logrus.FieldLogger
	Loop       *executor.Loop
	Controller *controller.Controller
	Granter    *granter.Granter
	Acquirer   *acquirer.Acquirer
	Dialer     *dialer.Dialer
	Publisher  *publisher.Publisher
	Receiver   *receiver.Receiver
	Limiter    *limiter.Limiter
	// Connections limits the callers' connections.
	Connections *limiter.Connections
	Proxier     *proxier.Proxier
	Exchanger   *exchanger.Exchanger
	Reconciler  *reconciler.Reconciler
	Sharer      *sharer.Sharer
	Keeper      *quarantiner.Keeper
	Reporter    *reporter.Reporter
}

// storeDaemon is a running router on a platform that has a store.
type storeDaemon struct {
	params storeDaemonParams
	group  *errgroup.Group
	cancel context.CancelFunc
	// callers accepts the callers' connections.
	callers net.Listener

	mu sync.Mutex
	// running counts the running goroutines of each component.
	running map[string]int
}

// spawn runs f in a goroutine of the component.
func (s *storeDaemon) spawn(component string, f func() error) {
	s.addRunning(component, 1)
	s.group.Go(func() error {
		defer s.addRunning(component, -1)
		return f()
	})
}

func (s *storeDaemon) addRunning(component string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[component] += n
	if s.running[component] == 0 {
		delete(s.running, component)
	}
}

// wait waits until all components have ended, for at most limit. At the limit it
// logs those that still run, and returns nil.
func (s *storeDaemon) wait(limit time.Duration) error {
	result := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		result <- s.group.Wait()
		return nil
	})
	select {
	case err := <-result:
		return err
	case <-time.After(limit):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.params.Log.WithField("parts", slices.Sorted(maps.Keys(s.running))).Warn("parts not ended at the end of the time to stop")
	return nil
}

// registerStoreDaemon registers a storeDaemon with the application's lifecycle.
func registerStoreDaemon(p storeDaemonParams, lc fx.Lifecycle, shutdowner fx.Shutdowner) {
	s := &storeDaemon{
		params:  p,
		running: make(map[string]int),
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return s.start(shutdowner) },
		OnStop:  s.stop,
	})
}

func (s *storeDaemon) start(shutdowner fx.Shutdowner) error {
	p := s.params
	if p.Settings.Store.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(p.Settings.Store.MemoryMB<<20)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group, ctx = errgroup.WithContext(ctx)
	peers, err := p.Dialer.Listen(ctx, p.Settings.Listen.Peer)
	if err != nil {
		cancel()
		return err
	}
	s.callers, err = listenHTTP(ctx, p.Settings.Listen.Caller, "", "")
	if err != nil {
		cancel()
		return err
	}
	s.spawn("callers", func() error {
		s.awaitConfiguration(ctx)
		return s.serveCallers(ctx)
	})
	servers := map[string]*http.Server{
		p.Settings.Listen.Ready:    newHTTPServer(p.Settings, http.HandlerFunc(p.Receiver.Ready), nil),
		p.Settings.Listen.Operator: newHTTPServer(p.Settings, s.operatorHandler(), nil),
	}
	for address, server := range servers {
		l, err := listenHTTP(ctx, address, "", "")
		if err != nil {
			cancel()
			return err
		}
		s.spawn("operators", func() error { return serveHTTP(ctx, server, l) })
	}
	s.spawn("loop", func() error { return p.Loop.Run(ctx) })
	s.spawn("controller", func() error { return p.Controller.Run(ctx) })
	s.spawn("granter", func() error { return p.Granter.Run(ctx) })
	s.spawn("acquirer", func() error { return p.Acquirer.Run(ctx) })
	s.spawn("conductor", func() error { return p.Reconciler.Run(ctx) })
	s.spawn("peers", func() error { return servePeers(ctx, peers, p.Controller, p.Granter, p.Sharer, p.Log) })
	s.spawn("relayer", func() error { return p.Proxier.Watch(ctx) })
	s.spawn("keeper", func() error { return p.Keeper.Run(ctx) })
	s.spawn("sweeper", func() error { return s.sweepConnections(ctx) })
	s.spawn("signals", func() error { return s.checkSettingsOnHangup(ctx) })
	s.spawn("watcher", func() error { return shutDownOnFailure(ctx, p.Log, shutdowner) })
	p.Log.WithField("caller", p.Settings.Listen.Caller).WithField("data-centre", p.Settings.DataCentre).Info("serving")
	return nil
}

// serveCallers serves callers until ctx ends. A planned stop closes the listener before, and the
// open connections are still served.
func (s *storeDaemon) serveCallers(ctx context.Context) error {
	server := s.params.Limiter.Server(s.params.Receiver)
	s.params.Connections.Attach(server)
	err := serveHTTP(ctx, server, s.params.Limiter.Listen(s.params.Connections.Listen(s.callers)))
	if !errors.Is(err, net.ErrClosed) || !s.params.Publisher.Stopping() {
		return err
	}
	<-ctx.Done()
	return server.Close()
}

const (
	// startWait bounds how long a starting instance lets callers wait until it has
	// a configuration. After that it refuses them until it has one.
	startWait = 500 * time.Millisecond
	// startPollInterval is the time between two checks for a configuration.
	startPollInterval = 20 * time.Millisecond
)

// awaitConfiguration returns once the instance has a configuration, or startWait
// has passed.
func (s *storeDaemon) awaitConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	t := time.NewTicker(startPollInterval)
	defer t.Stop()
	for s.params.Publisher.View().Site == nil {
		select {
		case <-ctx.Done():
			s.params.Log.Warn("no configuration known in time; callers are refused until one is")
			return
		case <-t.C:
		}
	}
}

// operatorHandler returns the handler of the operators' interface, which serves metrics
// and the quarantine of parts of prompts.
func (s *storeDaemon) operatorHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { s.params.Reporter.Write(w) })
	q := &administrator.Quarantine{
		Quarantiner: s.params.Keeper.Quarantiner,
		KeySHA256:   s.params.Settings.Operator.KeySHA256,
		Log:         s.params.Log,
	}
	q.Register(r)
	return r
}

// sweepConnections periodically closes the idle connections to endpoints that have
// expired.
func (s *storeDaemon) sweepConnections(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			s.params.Exchanger.CloseExpired(now)
		}
	}
}

// checkSettingsOnHangup checks the settings at each SIGHUP. The only settings that are
// expected to change while the router runs are the addresses at which other instances
// are found.
func (s *storeDaemon) checkSettingsOnHangup(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			s.checkSettings()
		}
	}
}

// checkSettings reads and checks the settings and logs the outcome, with whether the
// store's address has changed. It does not apply the new settings; they take effect
// at the next start.
func (s *storeDaemon) checkSettings() {
	next, err := loader.Load(s.params.Settings.Path())
	if err != nil {
		s.params.Log.WithError(err).Error("settings not reloaded; the old ones stay in force")
		return
	}
	storeMoved := next.Store != nil && next.Store.Address != s.params.Settings.Store.Address
	s.params.Log.WithField("store-moved", storeMoved).Info("settings read again")
}

// stop performs a planned stop. The instance reports at once that it is not ready,
// but accepts requests for Stop.Notice, which gives the load balancer time to
// notice. It then waits until the requests in flight are done. Of Stop.Finish, the
// time that the platform grants for the whole stop, it keeps stopMargin back.
func (s *storeDaemon) stop(ctx context.Context) error {
	p := s.params
	began := time.Now()
	noticeEnd := began.Add(p.Settings.Stop.Notice.Std())
	ctx, cancel := context.WithTimeout(ctx, p.Settings.Stop.Finish.Std()-stopMargin)
	defer cancel()
	p.Receiver.Stop(began.Add(p.Settings.Stop.Finish.Std() - stopMargin))
	p.Log.WithField("requests", p.Receiver.Active()).Info("stopping: not ready for new work")
	if err := p.Controller.Leave(ctx); err != nil {
		p.Log.WithError(err).Warn("peers not told of the stop")
	}
	time.Sleep(time.Until(noticeEnd))
	p.Receiver.Close()
	if err := s.callers.Close(); err != nil {
		p.Log.WithError(err).Warn("listener not closed")
	}
	if err := p.Limiter.Drain(ctx); err != nil {
		s.endRequests(context.WithoutCancel(ctx), began)
	}
	s.depart(context.WithoutCancel(ctx))
	s.cancel()
	err := s.wait(componentTime)
	p.Log.Info("stopped")
	return err
}

// endRequests ends the requests in flight at the end of a stop that began at began, and waits for
// at most answerTime until their callers have been answered.
func (s *storeDaemon) endRequests(ctx context.Context, began time.Time) {
	p := s.params
	p.Log.WithField("requests", p.Receiver.Active()).Warn("requests ended at the end of the time to finish")
	p.Receiver.EndActive(began)
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	if err := p.Limiter.Drain(ctx); err != nil && p.Receiver.Active() > 0 {
		p.Log.WithError(err).WithField("requests", p.Receiver.Active()).Error("requests cut off at the end of the time to finish")
	}
}

// depart notifies the peers that the instance is gone. It takes at most goodbyeTime, so that a
// peer that does not respond cannot delay the stop.
func (s *storeDaemon) depart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, goodbyeTime)
	defer cancel()
	result := make(chan error, 1)
	s.spawn("departure", func() error {
		result <- s.params.Controller.Withdraw(ctx)
		return nil
	})
	var err error
	select {
	case err = <-result:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		s.params.Log.WithError(err).Info("peers not told that the instance is gone")
	}
}
