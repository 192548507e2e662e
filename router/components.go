package main

import (
	"context"
	"crypto/tls"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/administrator"
	"heatherhold.dev/router/claimer"
	"heatherhold.dev/router/committer"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/driver"
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/forwarder"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/logger"
	"heatherhold.dev/router/provider"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/reporter"
	"heatherhold.dev/router/server"
	"heatherhold.dev/router/streamer"
)

const (
	// retryRatio is how many retries each new request adds to a retry budget, and
	// retryBurst is how many a budget can hold.
	retryRatio = 0.1
	retryBurst = 50
	// claimWait is how long a call waits for the response to another call with the
	// same idempotency key.
	claimWait         = 5 * time.Second
	spanExportTimeout = 5 * time.Second
)

// components builds the components of a daemon from the settings.
var components = fx.Options(
	fx.Provide(
		newLog,
		executor.New,
		publisher.New,
		newPlatform,
		newEngine,
		newDialer,
		newGranter,
		controller.New,
		newAcquirer,
		newClaimer,
		newReporter,
		newBodies,
		newConnections,
		newServer,
		newAdministrator,
	),
	fx.Invoke(wireController),
)

// logTimeFormat is the time format of log lines. It has microseconds, so that the
// lines of one instance can be sorted by time.
const logTimeFormat = "2006-01-02T15:04:05.000000Z07:00"

// newLog returns the logger and the writer behind it. Log lines go to standard
// output, and logging never blocks on it.
func newLog(s *loader.Settings, lc fx.Lifecycle) (logrus.FieldLogger, *logger.Writer, error) {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log-level")
	}
	var format logrus.Formatter = &logrus.TextFormatter{TimestampFormat: logTimeFormat}
	if s.LogFormat == "json" {
		format = &logrus.JSONFormatter{TimestampFormat: logTimeFormat}
	}
	w := logger.New(os.Stdout, format)
	log := logrus.New()
	log.SetLevel(level)
	log.SetOutput(io.Discard)
	log.AddHook(w)
	runLog(w, lc)
	return log.WithField("instance", s.Instance), w, nil
}

// runLog runs w from the start of the application to its end.
func runLog(w *logger.Writer, lc fx.Lifecycle) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			group.Go(func() error { return w.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return group.Wait()
		},
	})
}

func newPlatform(s *loader.Settings, log logrus.FieldLogger) provider.Platform {
	return &provider.Client{
		URL:     s.Platform.URL,
		Timeout: s.Platform.Timeout.Std(),
		Log:     log,
	}
}

func newEngine() driver.Engine {
	return &driver.Client{}
}

func newDialer(s *loader.Settings) (*dialer.Dialer, error) {
	if s.Peer.Security == "plain" {
		return &dialer.Dialer{}, nil
	}
	config, err := dialer.TLSConfig(s.Peer.Certificate, s.Peer.Key, s.Peer.Authority)
	if err != nil {
		return nil, err
	}
	return &dialer.Dialer{TLS: config}, nil
}

func newGranter(s *loader.Settings, loop *executor.Loop, engine driver.Engine, pub *publisher.Publisher, p *reporter.Reporter, log logrus.FieldLogger) *granter.Granter {
	g := granter.New(loop)
	g.Engine = engine
	g.Publisher = pub
	g.Log = log
	g.Lease = s.Peer.InactivityTimeout.Std()
	g.OnRound = p.RecordRound
	g.OnUnknown = p.CountUnknown
	return g
}

// wireController sets the controller's dependencies, among them the granter, and
// the granter's callback to the controller.
func wireController(c *controller.Controller, p provider.Platform, d *dialer.Dialer, pub *publisher.Publisher, g *granter.Granter, log logrus.FieldLogger) {
	c.Platform = p
	c.Committer = &committer.Committer{Platform: p}
	c.Dialer = d
	c.Publisher = pub
	c.Granter = g
	c.Log = log
	g.MarkLeaving = c.MarkLeavingOnLoop
}

func newAcquirer(s *loader.Settings, pub *publisher.Publisher, d *dialer.Dialer, g *granter.Granter, log logrus.FieldLogger) *acquirer.Acquirer {
	a := acquirer.New()
	a.Self = s.Instance
	a.Publisher = pub
	a.Dialer = d
	a.Granter = g
	a.Log = log
	a.InactivityTimeout = s.Peer.InactivityTimeout.Std()
	return a
}

func newClaimer(p provider.Platform) *claimer.Claimer {
	c := claimer.New()
	c.Table = p
	c.WaitTimeout = claimWait
	return c
}

// newReporter returns a reporter that sends sampled spans to the collector at
// trace.url, if that is set.
func newReporter(s *loader.Settings, lc fx.Lifecycle) (*reporter.Reporter, error) {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Trace.Sample))),
	}
	if s.Trace.URL != "" {
		exporter, err := otlptracehttp.New(context.Background(),
			otlptracehttp.WithEndpointURL(s.Trace.URL),
			otlptracehttp.WithTimeout(spanExportTimeout))
		if err != nil {
			return nil, errors.Wrap(err, "trace.url")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	tracerProvider := sdktrace.NewTracerProvider(options...)
	lc.Append(fx.Hook{OnStop: tracerProvider.Shutdown})
	return reporter.New(tracerProvider.Tracer("heatherhold")), nil
}

func newServer(s *loader.Settings, pub *publisher.Publisher, a *acquirer.Acquirer, e driver.Engine, c *claimer.Claimer, bodies *limiter.Bodies, p *reporter.Reporter, ctl *controller.Controller, log logrus.FieldLogger) *server.Server {
	srv := &server.Server{
		Publisher: pub,
		Streamer: &streamer.Streamer{
			Tickets:   a,
			Engine:    e,
			Watcher:   p,
			Budget:    newBudget(),
			Log:       log,
			OnLeaving: ctl.MarkLeaving,
		},
		Forwarder: &forwarder.Forwarder{
			Publisher: pub,
			Claimer:   c,
			Budget:    newBudget(),
			Log:       log,
		},
		Reporter:     p,
		Log:          log,
		DataCentre:   s.DataCentre,
		BodyLimit:    s.Caller.BodyLimit,
		Bodies:       bodies,
		BodyTimeout:  s.Caller.BodyTimeout.Std(),
		WriteTimeout: s.Caller.WriteTimeout.Std(),
	}
	p.Gauge("heatherhold_active_requests", func() float64 { return float64(srv.Active()) })
	p.Gauge("heatherhold_revision", func() float64 { return float64(pub.View().Revision) })
	p.Gauge("heatherhold_live_instances", func() float64 { return float64(len(pub.View().Live)) })
	return srv
}

func newBodies(s *loader.Settings, p *reporter.Reporter, log logrus.FieldLogger) *limiter.Bodies {
	b := limiter.NewBodies()
	b.Limit = s.BodyMemory()
	b.Reporter = p
	b.Log = log
	p.Gauge("heatherhold_unfinished_body_bytes", func() float64 { return float64(b.Reserved()) })
	p.Gauge("heatherhold_held_body_bytes", func() float64 { return float64(b.Held()) })
	return b
}

func newConnections(s *loader.Settings, p *reporter.Reporter, log logrus.FieldLogger) (*limiter.Connections, error) {
	c := limiter.NewConnections()
	c.Reporter = p
	c.Log = log
	p.Gauge("heatherhold_caller_connections", func() float64 { return float64(c.Len()) })
	var err error
	c.Max, err = s.MaxConnections()
	return c, err
}

func newBudget() *streamer.Budget {
	return &streamer.Budget{
		Ratio:     retryRatio,
		Burst:     retryBurst,
		Available: retryBurst,
	}
}

func newAdministrator(s *loader.Settings, c *controller.Controller, g *granter.Granter, pub *publisher.Publisher, log logrus.FieldLogger) *administrator.Administrator {
	return &administrator.Administrator{
		Instance:   s.Instance,
		Controller: c,
		Granter:    g,
		Publisher:  pub,
		Bootstrap:  s.Operator.KeySHA256,
		Log:        log,
	}
}

// serverTLS returns the TLS configuration of a listener. It returns nil, for plain
// TCP, if there is no certificate.
func serverTLS(certificate, key string) (*tls.Config, error) {
	if certificate == "" {
		return nil, nil
	}
	pair, err := tls.X509KeyPair([]byte(certificate), []byte(key))
	if err != nil {
		return nil, errors.Wrap(err, "load certificate and key")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS12,
	}, nil
}
