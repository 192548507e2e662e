package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/platform/archiver"
	"heatherhold.dev/platform/leaser"
	"heatherhold.dev/platform/orderer"
	"heatherhold.dev/platform/registrar"
	"heatherhold.dev/platform/storer"
	"heatherhold.dev/platform/subscriber"
	"heatherhold.dev/platform/translator"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/balancer"
	"heatherhold.dev/router/budgeter"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/estimator"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/logger"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/proxier"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/quarantiner"
	"heatherhold.dev/router/receiver"
	"heatherhold.dev/router/reconciler"
	"heatherhold.dev/router/reporter"
	"heatherhold.dev/router/scheduler"
	"heatherhold.dev/router/sharer"
)

// Tables and keys in the platform's store that the router itself writes.
const (
	instancesTable = "heatherhold-instances"
	leasesTable    = "heatherhold-leases"
	placementLease = "placement"
	partsTable     = "heatherhold-parts"
	condemnedKey   = "condemned"
)

const (
	// orderTimeout bounds the wait for an endpoint's response to an order.
	orderTimeout = 500 * time.Millisecond
	// endpointDialTimeout bounds the wait for a connection to an endpoint.
	endpointDialTimeout = 300 * time.Millisecond
	// leaseTerm is how long the lease for placement orders is valid without a
	// renewal.
	leaseTerm = 5 * time.Second
)

// storeComponents builds the components of a router on a platform that has a
// store: the platform itself stores the configuration and the endpoint list, and
// requests are forwarded unchanged.
var storeComponents = fx.Options(
	fx.Provide(
		newLog,
		executor.New,
		publisher.New,
		newEngine,
		newDialer,
		newGranter,
		controller.New,
		newAcquirer,
		newReporter,
		newStore,
		newSharer,
		newExchanger,
		newOrderer,
		newProxier,
		newQuarantiner,
		newKeeper,
		newBodies,
		newConnections,
		newReceiver,
		newLimiter,
		newReconciler,
	),
	fx.Invoke(wireStoreController, registerGauges, registerStoreDaemon),
)

func newStore(s *loader.Settings, p *reporter.Reporter, log logrus.FieldLogger) *storer.Client {
	return &storer.Client{
		Address: s.Store.Address,
		Timeout: s.Platform.Timeout.Std(),
		Observe: p.RecordStoreCall,
		OnRestored: func(old, era identifier.Era) {
			p.CountRestoration()
			log.WithField("old-era", old).WithField("era", era).Warn("platform store restored from an older copy")
		},
		OnUnclearEra: func(err error) {
			log.WithError(err).Warn("era of the platform store not known; responses count as of the last one")
		},
	}
}

// newSharer returns the sharer of the tables that all instances follow. While the store
// holds a reader's question, the reader's news is as old as the question before it, so
// that news of two questions is still passed on.
func newSharer(s *loader.Settings, store *storer.Client, d *dialer.Dialer, pub *publisher.Publisher, p *reporter.Reporter, log logrus.FieldLogger) *sharer.Sharer {
	pollAge := 2*s.Store.PollTimeout.Std() + s.Platform.Timeout.Std()
	return &sharer.Sharer{
		Self:      s.Instance,
		Store:     store,
		Peers:     d,
		Publisher: pub,
		MaxAge: map[string]time.Duration{
			translator.ConfigurationTable: pollAge,
			translator.EndpointsTable:     pollAge,
			instancesTable:                2 * s.Platform.ListInterval.Std(),
		},
		OnRead: p.CountRead,
		OnEra:  func(era identifier.Era) { store.LearnEra(era) },
		// A configuration comes with the exchanges, which also say how long it may be used.
		FirstFromPeers: map[string]bool{translator.EndpointsTable: true},
		Address:        s.Listen.Peer,
		Seeds:          s.Store.Seeds,
		Era:            func() identifier.Era { return store.History().Era },
		OnPeerCopy:     p.CountPeerCopy,
		Log:            log,
	}
}

func newExchanger(p *reporter.Reporter) *exchanger.Exchanger {
	return &exchanger.Exchanger{
		DialTimeout:  endpointDialTimeout,
		OnConnOpened: p.CountConnection,
	}
}

func newOrderer() *orderer.Client {
	return &orderer.Client{Timeout: orderTimeout}
}

func newProxier(s *loader.Settings, pub *publisher.Publisher, q *quarantiner.Quarantiner, a *acquirer.Acquirer, e *exchanger.Exchanger, orders *orderer.Client, p *reporter.Reporter, log logrus.FieldLogger) *proxier.Proxier {
	return &proxier.Proxier{
		Publisher: pub,
		Tickets:   a,
		Exchanger: e,
		Codec:     translator.Codec{},
		Orderer:   orders,
		Balancer: &balancer.Balancer{
			Self: s.Instance,
			Live: func() []identifier.Instance { return pub.View().Live },
		},
		Reporter:    p,
		Quarantiner: q,
		DataCentre:  s.DataCentre,
		Retries: proxier.Retries{
			Ratio:      s.Store.RetryRatio * usedRetryShare,
			Burst:      s.Store.RetryBurst * usedRetryShare,
			Window:     s.Store.RetryWindow.Std(),
			OwnerShare: 1 - entryRetryShare/usedRetryShare,
		},
		MaxBufferedBytes: int64(bufferedResponseShare * float64(s.Store.MemoryMB<<20)),
		Log:              log,
	}
}

func newQuarantiner(s *loader.Settings, pub *publisher.Publisher, log logrus.FieldLogger) *quarantiner.Quarantiner {
	return &quarantiner.Quarantiner{
		Self: s.Instance,
		Live: func() []identifier.Instance { return pub.View().Live },
		Log:  log,
	}
}

func newKeeper(q *quarantiner.Quarantiner, store *storer.Client, pub *publisher.Publisher, log logrus.FieldLogger) *quarantiner.Keeper {
	return &quarantiner.Keeper{
		Quarantiner: q,
		Archive: &archiver.Archiver{
			Store: store,
			Table: partsTable,
			Key:   condemnedKey,
			Log:   log,
		},
		Readers: func() []identifier.Instance { return pub.View().Readers },
		Era:     func() identifier.Era { return store.History().Era },
		Log:     log,
	}
}

const (
	// usedRetryShare is the share of the allowed retries that all instances together
	// use.
	usedRetryShare = 0.6
	// ownerRetryShare is the share of the allowed retries of model requests that a pool's owner
	// keeps for all instances, and entryRetryShare the share that these keep themselves. They
	// add up to less than 1 since two owners may spend their shares while the owner changes.
	ownerRetryShare = 0.6
	entryRetryShare = 0.2
	// bufferedResponseShare is the share of the instance's memory that may hold
	// responses of plain services before they are forwarded.
	bufferedResponseShare = 0.25
)

func newReceiver(pub *publisher.Publisher, proxy *proxier.Proxier, bodies *limiter.Bodies, p *reporter.Reporter, log logrus.FieldLogger) *receiver.Receiver {
	return &receiver.Receiver{
		Publisher: pub,
		Proxier:   proxy,
		Codec:     translator.Codec{},
		Bodies:    bodies,
		OnRefusal: p.CountResponse,
		OnEnd:     p.CountEnd,
		Log:       log,
	}
}

func newLimiter(s *loader.Settings, pub *publisher.Publisher, p *reporter.Reporter, log logrus.FieldLogger) *limiter.Limiter {
	l := limiter.New()
	l.HeaderTimeout = s.Caller.HeaderTimeout.Std()
	l.IdleTimeout = s.Caller.IdleTimeout.Std()
	l.Publisher = pub
	l.Reporter = p
	l.Log = log
	return l
}

func newReconciler(s *loader.Settings, pub *publisher.Publisher, store *storer.Client, orders *orderer.Client, g *granter.Granter, p *reporter.Reporter, log logrus.FieldLogger) *reconciler.Reconciler {
	return &reconciler.Reconciler{
		Self:      s.Instance,
		Publisher: pub,
		Lease: &leaser.Lease{
			Store:  store,
			Table:  leasesTable,
			Key:    placementLease,
			Holder: s.Instance,
			Term:   leaseTerm,
			Log:    log,
		},
		Orderer:  orders,
		Failed:   g.Failed,
		OnPlaced: p.CountPlacement,
		Log:      log,
	}
}

// boolValue returns 1 for true.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// noList is the age that the metric of the list of endpoints has without a list.
const noList = -1

// listAge returns the age of the list of endpoints in seconds; noList if there is none.
func listAge(pub *publisher.Publisher, sh *sharer.Sharer) float64 {
	if pub.List() == (identifier.Position{}) && pub.View().EndpointCount() == 0 {
		return noList
	}
	return sh.Age(translator.EndpointsTable).Seconds()
}

// registerGauges registers the metrics whose values are read when metrics are
// written.
func registerGauges(p *reporter.Reporter, pub *publisher.Publisher, r *receiver.Receiver, x *proxier.Proxier, q *quarantiner.Quarantiner, store *storer.Client, sh *sharer.Sharer, w *logger.Writer) {
	for _, table := range []string{translator.ConfigurationTable, translator.EndpointsTable} {
		p.Gauge(fmt.Sprintf(`heatherhold_news_age_seconds{table=%q}`, table), func() float64 { return sh.Age(table).Seconds() })
		p.Gauge(fmt.Sprintf(`heatherhold_reads_store{table=%q}`, table), func() float64 { return boolValue(sh.Source(table) == "") })
	}
	p.Gauge(`heatherhold_quarantined_parts{verdict="suspected"}`, func() float64 { return float64(q.Count(time.Now(), quarantiner.SharedPart, false)) })
	p.Gauge(`heatherhold_quarantined_parts{verdict="condemned"}`, func() float64 { return float64(q.Count(time.Now(), quarantiner.SharedPart, true)) })
	p.Gauge(`heatherhold_quarantined_requests{verdict="suspected"}`, func() float64 { return float64(q.Count(time.Now(), quarantiner.WholeRequest, false)) })
	p.Gauge(`heatherhold_quarantined_requests{verdict="condemned"}`, func() float64 { return float64(q.Count(time.Now(), quarantiner.WholeRequest, true)) })
	p.Gauge(`heatherhold_quarantined_paths{verdict="suspected"}`, func() float64 { return float64(q.Count(time.Now(), quarantiner.SharedPath, false)) })
	p.Gauge(`heatherhold_quarantined_paths{verdict="condemned"}`, func() float64 { return float64(q.Count(time.Now(), quarantiner.SharedPath, true)) })
	p.Gauge(`heatherhold_endpoints_lost_to_requests_total`, func() float64 { return float64(q.Lost()) })
	p.Gauge(`heatherhold_crash_evidence_forgotten_total`, func() float64 { return float64(q.Forgotten()) })
	p.Gauge("heatherhold_paused_endpoints", func() float64 { return float64(len(x.Balancer.Paused(time.Now()))) })
	p.Gauge("heatherhold_store_era", func() float64 { return float64(store.History().Era) })
	p.Gauge("heatherhold_active_requests", func() float64 { return float64(r.Active()) })
	p.Gauge("heatherhold_revision", func() float64 { return float64(pub.View().Revision) })
	p.Gauge("heatherhold_live_instances", func() float64 { return float64(len(pub.View().Live)) })
	p.Gauge("heatherhold_confirmed_seconds", func() float64 { return time.Until(pub.ConfirmedUntil()).Seconds() })
	p.Gauge("heatherhold_log_lines_dropped", func() float64 { return float64(w.Dropped()) })
	p.Gauge("heatherhold_endpoint_list_age_seconds", func() float64 { return listAge(pub, sh) })
	p.Gauge("heatherhold_endpoints", func() float64 { return float64(pub.View().EndpointCount()) })
}

// wireStoreController sets the dependencies of a controller on a platform that has
// a store, and the granter's callbacks.
func wireStoreController(s *loader.Settings, c *controller.Controller, store *storer.Client, sh *sharer.Sharer, d *dialer.Dialer, pub *publisher.Publisher, g *granter.Granter, a *acquirer.Acquirer, q *quarantiner.Quarantiner, x *proxier.Proxier, p *reporter.Reporter, log logrus.FieldLogger) {
	c.Dialer = d
	c.Publisher = pub
	c.Granter = g
	c.Log = log
	c.Source = &controller.Source{
		Configurations: &subscriber.Subscriber[controller.StoredConfiguration]{
			Store:        sh,
			Table:        translator.ConfigurationTable,
			LongPollWait: s.Store.PollTimeout.Std(),
			Decode:       decodeConfiguration,
			Log:          log,
		},
		Endpoints: &subscriber.Subscriber[cataloguer.Endpoint]{
			Store:        sh,
			Table:        translator.EndpointsTable,
			LongPollWait: s.Store.PollTimeout.Std(),
			MinInterval:  s.Store.MinPollInterval.Std(),
			Decode:       translator.Endpoint,
			Log:          log,
		},
		Registry: &registrar.Registrar{
			Store:  store,
			Copies: sh,
			Table:  instancesTable,
			Log:    log,
		},
		Decode:            translator.Configuration,
		Seeds:             s.Store.Seeds,
		RetainAfterOutage: s.Store.RetainAfterOutage.Std(),
	}
	g.Retries = budgeter.Limits{
		Ratio:  s.Store.RetryRatio * ownerRetryShare,
		Burst:  s.Store.RetryBurst * ownerRetryShare,
		Window: s.Store.RetryWindow.Std(),
	}
	g.OnRetry = p.CountSharedRetry
	c.OnExchange = p.CountExchange
	p.Gauge(`heatherhold_registry_rows{state="all"}`, func() float64 {
		all, _ := c.RegistryRows()
		return float64(all)
	})
	p.Gauge(`heatherhold_registry_rows{state="silent"}`, func() float64 {
		_, silent := c.RegistryRows()
		return float64(silent)
	})
	c.Quarantiner = q
	q.OnNews = c.Push
	x.OnLeaving = c.MarkLeaving
	g.MarkLeaving = c.MarkLeavingOnLoop
	g.LearnDepartures = c.LearnDepartures
	g.Estimate = estimate
	g.ListAge = func() time.Duration { return sh.Age(translator.EndpointsTable) }
	a.ListAge = g.ListAge
}

// decodeConfiguration decodes the row that holds the operators' configuration.
func decodeConfiguration(key string, value []byte) (controller.StoredConfiguration, error) {
	if key != translator.ConfigurationKey {
		return controller.StoredConfiguration{}, errors.Errorf("unknown key %q in the configuration table", key)
	}
	cfg, err := translator.Configuration(value)
	return controller.StoredConfiguration{
		Value:         value,
		Configuration: cfg,
	}, err
}

// estimate returns the estimated performance of the endpoints of pool k. It skips
// endpoints that are leaving and, if the engine has layers, those that hold none.
func estimate(v *publisher.View, k granter.Key) []scheduler.Report {
	engine := v.Site.Services[k.Service].Engine
	if engine == nil {
		return nil
	}
	var runners []planner.Runner
	for i := range v.Fleet[k.Service] {
		endpoint := &v.Fleet[k.Service][i]
		if endpoint.Leaving || (engine.Layers > 0 && !endpoint.HoldsLayers()) {
			continue
		}
		runner := estimator.Runner(engine, endpoint)
		runner.Version = ""
		if k.Standalone {
			runner = estimator.Share(runner, v.Instances())
		}
		runners = append(runners, runner)
	}
	planner.MarkShared(runners)
	reports := make([]scheduler.Report, 0, len(runners))
	for _, r := range runners {
		reports = append(reports, scheduler.Report{Runner: r})
	}
	return reports
}
