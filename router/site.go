package main

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/platform/leaser"
	"heatherhold.dev/platform/orderer"
	"heatherhold.dev/platform/registrar"
	"heatherhold.dev/platform/storer"
	"heatherhold.dev/platform/subscriber"
	"heatherhold.dev/platform/translator"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/balancer"
	"heatherhold.dev/router/conductor"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/estimator"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/logger"
	"heatherhold.dev/router/looper"
	"heatherhold.dev/router/observer"
	"heatherhold.dev/router/receiver"
	"heatherhold.dev/router/relayer"
	"heatherhold.dev/router/reporter"
	"heatherhold.dev/router/scheduler"
)

// Tables and rows of the router's own in the platform's store.
const (
	instancesTable = "heatherhold-instances"
	leasesTable    = "heatherhold-leases"
	placementLease = "placement"
)

const (
	// orderTimeout is the longest wait for an endpoint's answer to an order.
	orderTimeout = 500 * time.Millisecond
	// endpointDialTimeout is the longest wait for a connection to an endpoint.
	endpointDialTimeout = 300 * time.Millisecond
	// leaseTerm is how long the lease for placement orders is held at a time.
	leaseTerm = 5 * time.Second
)

// siteComponents builds the parts of a router on a platform that keeps
// configuration and list itself and whose requests are passed on unchanged.
var siteComponents = fx.Options(
	fx.Provide(
		newLog,
		looper.New,
		observer.New,
		newEngine,
		newDialer,
		newGranter,
		controller.New,
		newAcquirer,
		newReporter,
		newStore,
		newExchanger,
		newOrderer,
		newRelayer,
		newReceiver,
		newLimiter,
		newConductor,
	),
	fx.Invoke(wireSite, watchSite, runSite),
)

func newStore(s *loader.Settings, p *reporter.Reporter) *storer.Client {
	return &storer.Client{
		Address: s.Store.Address,
		Timeout: s.Platform.Timeout.Std(),
		Observe: p.StoreCall,
	}
}

func newExchanger(p *reporter.Reporter) *exchanger.Exchanger {
	return &exchanger.Exchanger{
		DialTimeout: endpointDialTimeout,
		Opened:      p.Opened,
	}
}

func newOrderer() *orderer.Client {
	return &orderer.Client{Timeout: orderTimeout}
}

func newRelayer(s *loader.Settings, o *observer.Observer, a *acquirer.Acquirer, x *exchanger.Exchanger, orders *orderer.Client, p *reporter.Reporter, log logrus.FieldLogger) *relayer.Relayer {
	return &relayer.Relayer{
		Observer:   o,
		Tickets:    a,
		Exchanger:  x,
		Codec:      translator.Codec{},
		Orders:     orders,
		Balancer:   &balancer.Balancer{},
		Reporter:   p,
		DataCentre: s.DataCentre,
		Retries: relayer.Retries{
			Ratio:  s.Store.RetryRatio * retryShare,
			Burst:  s.Store.RetryBurst * retryShare,
			Window: s.Store.RetryWindow.Std(),
		},
		HeldBytes: int64(heldPart * float64(s.Store.MemoryMB<<20)),
		Log:       log,
	}
}

const (
	// retryShare is the part of the retries allowed that the instances use.
	retryShare = 0.6
	// heldPart is the part of the instance's memory that plain answers may fill
	// before they are passed on.
	heldPart = 0.25
)

func newReceiver(o *observer.Observer, x *relayer.Relayer, p *reporter.Reporter, log logrus.FieldLogger) *receiver.Receiver {
	return &receiver.Receiver{
		Observer: o,
		Relayer:  x,
		Codec:    translator.Codec{},
		Refused:  p.Answered,
		Log:      log,
	}
}

func newLimiter(s *loader.Settings, o *observer.Observer, p *reporter.Reporter, log logrus.FieldLogger) *limiter.Limiter {
	x := limiter.New()
	x.HeaderTimeout = s.Caller.HeaderTimeout.Std()
	x.IdleTimeout = s.Caller.IdleTimeout.Std()
	x.Observer = o
	x.Reporter = p
	x.Log = log
	return x
}

func newConductor(s *loader.Settings, o *observer.Observer, store *storer.Client, orders *orderer.Client, p *reporter.Reporter, log logrus.FieldLogger) *conductor.Conductor {
	return &conductor.Conductor{
		Observer: o,
		Lease: &leaser.Lease{
			Store:  store,
			Table:  leasesTable,
			Key:    placementLease,
			Holder: s.Instance,
			Term:   leaseTerm,
		},
		Orders: orders,
		Placed: p.Placed,
		Log:    log,
	}
}

// watchSite registers the values that are read when metrics are written.
func watchSite(p *reporter.Reporter, o *observer.Observer, x *receiver.Receiver, w *logger.Writer) {
	p.Gauge("heatherhold_active_requests", func() float64 { return float64(x.Active()) })
	p.Gauge("heatherhold_revision", func() float64 { return float64(o.View().Revision) })
	p.Gauge("heatherhold_live_instances", func() float64 { return float64(len(o.View().Live)) })
	p.Gauge("heatherhold_confirmed_seconds", func() float64 { return time.Until(o.ConfirmedUntil()).Seconds() })
	p.Gauge("heatherhold_log_lines_dropped", func() float64 { return float64(w.Dropped()) })
	p.Gauge("heatherhold_endpoints", func() float64 { return float64(o.View().Size()) })
}

// wireSite gives the controller and the granter the platform.
func wireSite(s *loader.Settings, c *controller.Controller, store *storer.Client, d *dialer.Dialer, o *observer.Observer, g *granter.Granter, p *reporter.Reporter, log logrus.FieldLogger) {
	c.Dialer = d
	c.Observer = o
	c.Granter = g
	c.Log = log
	c.Source = &controller.Source{
		Configurations: &subscriber.Subscriber[controller.Site]{
			Store:  store,
			Table:  translator.ConfigurationTable,
			Wait:   s.Store.Wait.Std(),
			Decode: decodeSite,
			Log:    log,
		},
		Endpoints: &subscriber.Subscriber[cataloguer.Endpoint]{
			Store:  store,
			Table:  translator.EndpointsTable,
			Wait:   s.Store.Wait.Std(),
			Pace:   s.Store.Pace.Std(),
			Decode: translator.Endpoint,
			Log:    log,
		},
		Registry: &registrar.Registrar{
			Store: store,
			Table: instancesTable,
			Log:   log,
		},
		Decode: translator.Configuration,
		Seeds:  s.Store.Seeds,
		Lapse:  s.Store.Lapse.Std(),
	}
	c.Exchanged = p.Exchanged
	g.Leaving = c.MarkOnLoop
	g.Estimate = estimate
}

// decodeSite reads the operators' row.
func decodeSite(key string, value []byte) (controller.Site, error) {
	if key != translator.ConfigurationKey {
		return controller.Site{}, errors.Errorf("no configuration is kept under %q", key)
	}
	cfg, err := translator.Configuration(value)
	return controller.Site{
		Value:         value,
		Configuration: cfg,
	}, err
}

// estimate tells what a pool's endpoints can do.
func estimate(v *observer.View, k granter.Key) []scheduler.Report {
	engine := v.Site.Services[k.Service].Engine
	if engine == nil {
		return nil
	}
	var reports []scheduler.Report
	for i := range v.Fleet[k.Service] {
		p := &v.Fleet[k.Service][i]
		if p.Leaving || (engine.Layers > 0 && !p.Holds()) {
			continue
		}
		r := estimator.Runner(engine, p)
		r.Version = ""
		if k.Alone {
			r = estimator.Share(r, v.Instances())
		}
		reports = append(reports, scheduler.Report{Runner: r})
	}
	return reports
}
