package main

import (
	"context"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/conductor"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/looper"
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/receiver"
	"heatherhold.dev/router/relayer"
	"heatherhold.dev/router/reporter"
)

const (
	// sweepInterval is how often unused connections to endpoints are looked at.
	sweepInterval = time.Second
	// memoryPart is the part of the instance's memory that the heap may fill.
	memoryPart = 0.7
	// stopMargin is kept from the time that the platform grants for a stop.
	stopMargin = 600 * time.Millisecond
)

// siteParts is everything that runs on such a platform.
type siteParts struct {
	fx.In

	Settings   *loader.Settings
	Log        logrus.FieldLogger
	Loop       *looper.Loop
	Controller *controller.Controller
	Granter    *granter.Granter
	Acquirer   *acquirer.Acquirer
	Dialer     *dialer.Dialer
	Observer   *observer.Observer
	Receiver   *receiver.Receiver
	Limiter    *limiter.Limiter
	Relayer    *relayer.Relayer
	Exchanger  *exchanger.Exchanger
	Conductor  *conductor.Conductor
	Reporter   *reporter.Reporter
}

// site is a running router on such a platform.
type site struct {
	parts  siteParts
	group  *errgroup.Group
	cancel context.CancelFunc
	caller *http.Server

	mu sync.Mutex
	// running counts the goroutines of each part.
	running map[string]int
}

// run starts a part's goroutine.
func (s *site) run(part string, f func() error) {
	s.count(part, 1)
	s.group.Go(func() error {
		defer s.count(part, -1)
		return f()
	})
}

func (s *site) count(part string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[part] += n
	if s.running[part] == 0 {
		delete(s.running, part)
	}
}

// wait waits for all parts to end, and at most for limit.
func (s *site) wait(limit time.Duration) error {
	ended := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		ended <- s.group.Wait()
		return nil
	})
	select {
	case err := <-ended:
		return err
	case <-time.After(limit):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts.Log.WithField("parts", slices.Sorted(maps.Keys(s.running))).Warn("parts not ended at the end of the time to stop")
	return nil
}

// runSite starts all parts with the application and stops them in order.
func runSite(p siteParts, lc fx.Lifecycle, down fx.Shutdowner) {
	s := &site{
		parts:   p,
		running: make(map[string]int),
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return s.start(down) },
		OnStop:  s.stop,
	})
}

func (s *site) start(down fx.Shutdowner) error {
	p := s.parts
	if p.Settings.Store.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(p.Settings.Store.MemoryMB<<20)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group, ctx = errgroup.WithContext(ctx)
	peers, err := p.Dialer.Listen(ctx, p.Settings.Listen.Peer)
	if err != nil {
		cancel()
		return err
	}
	callers, err := listenHTTP(ctx, p.Settings.Listen.Caller, "", "")
	if err != nil {
		cancel()
		return err
	}
	s.caller = p.Limiter.Server(p.Receiver)
	s.run("callers", func() error {
		s.await(ctx)
		return serveHTTP(ctx, s.caller, p.Limiter.Listen(callers))
	})
	servers := map[string]*http.Server{
		p.Settings.Listen.Ready:    newHTTPServer(p.Settings, http.HandlerFunc(p.Receiver.Ready), nil),
		p.Settings.Listen.Operator: newHTTPServer(p.Settings, s.operator(), nil),
	}
	for address, server := range servers {
		l, err := listenHTTP(ctx, address, "", "")
		if err != nil {
			cancel()
			return err
		}
		s.run("operators", func() error { return serveHTTP(ctx, server, l) })
	}
	s.run("loop", func() error { return p.Loop.Run(ctx) })
	s.run("controller", func() error { return p.Controller.Run(ctx) })
	s.run("granter", func() error { return p.Granter.Run(ctx) })
	s.run("acquirer", func() error { return p.Acquirer.Run(ctx) })
	s.run("conductor", func() error { return p.Conductor.Run(ctx) })
	s.run("peers", func() error { return servePeers(ctx, peers, p.Controller, p.Granter) })
	s.run("relayer", func() error { return p.Relayer.Watch(ctx) })
	s.run("sweeper", func() error { return s.sweep(ctx) })
	s.run("signals", func() error { return s.hangups(ctx) })
	s.run("watcher", func() error { return watchParts(ctx, p.Log, down) })
	p.Log.WithField("caller", p.Settings.Listen.Caller).WithField("data-centre", p.Settings.DataCentre).Info("serving")
	return nil
}

const (
	// startWait is how long callers wait at most for an instance that starts to
	// know a configuration; then they are refused until it does.
	startWait = 500 * time.Millisecond
	// startPause is the time between two looks.
	startPause = 20 * time.Millisecond
)

// await returns once a configuration is known, or startWait has passed.
func (s *site) await(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	t := time.NewTicker(startPause)
	defer t.Stop()
	for s.parts.Observer.View().Site == nil {
		select {
		case <-ctx.Done():
			s.parts.Log.Warn("no configuration known in time; callers are refused until one is")
			return
		case <-t.C:
		}
	}
}

// operator serves metrics.
func (s *site) operator() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { s.parts.Reporter.Write(w) })
	return r
}

// sweep closes unused connections whose time has passed.
func (s *site) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			s.parts.Exchanger.Sweep(now)
		}
	}
}

// hangups reads the settings again at each SIGHUP. What may change while the
// router runs is where other instances are found.
func (s *site) hangups(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			s.reload()
		}
	}
}

func (s *site) reload() {
	next, err := loader.Load(s.parts.Settings.Path())
	if err != nil {
		s.parts.Log.WithError(err).Error("settings not reloaded; the old ones stay in force")
		return
	}
	changed := next.Store != nil && next.Store.Address != s.parts.Settings.Store.Address
	s.parts.Log.WithField("store-moved", changed).Info("settings read again")
}

// stop is the planned stop: not ready at once, taking requests until the balancer
// has had time to notice, and serving on until those in flight are done, for most
// of the time that the platform grants.
func (s *site) stop(ctx context.Context) error {
	p := s.parts
	noticed := time.Now().Add(p.Settings.Stop.Notice.Std())
	ctx, cancel := context.WithTimeout(ctx, p.Settings.Stop.Finish.Std()-stopMargin)
	defer cancel()
	p.Log.WithField("requests", p.Receiver.Active()).Info("stopping: not ready for new work")
	if err := p.Controller.Leave(ctx); err != nil {
		p.Log.WithError(err).Warn("peers not told of the stop")
	}
	time.Sleep(time.Until(noticed))
	p.Receiver.Close()
	if err := s.caller.Shutdown(ctx); err != nil {
		p.Log.WithError(err).WithField("requests", p.Receiver.Active()).Error("requests cut off at the end of the time to finish")
	}
	s.depart(context.WithoutCancel(ctx))
	s.cancel()
	err := s.wait(stopMargin / 4)
	p.Log.Info("stopped")
	return err
}

// depart tells peers that the instance is gone, for a part of the margin at most:
// a peer that has fallen silent must not hold the stop up.
func (s *site) depart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopMargin/2)
	defer cancel()
	told := make(chan error, 1)
	s.run("departure", func() error {
		told <- s.parts.Controller.Depart(ctx)
		return nil
	})
	var err error
	select {
	case err = <-told:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		s.parts.Log.WithError(err).Info("peers not told that the instance is gone")
	}
}
