package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/executor"
)

// Feed returns the changes of one table in turn; the first change is the whole table.
type Feed[T any] interface {
	Next(ctx context.Context) (cataloguer.Change[T], error)
}

// Registry is the list in which instances announce themselves and find each other.
type Registry interface {
	// Register returns the position at which the entry was written.
	Register(ctx context.Context, l messenger.ListedInstance) (identifier.Position, error)
	// Remove removes entries that were read in an era of the platform's store, unless one of
	// them was written again since.
	Remove(ctx context.Context, era identifier.Era, gone []messenger.RegisteredInstance) error
	// List returns the entries, those that were written last first, and the era of the list.
	// They are of instances that were started once, and may be gone.
	List(ctx context.Context) ([]messenger.RegisteredInstance, identifier.Era, error)
}

// Source is a platform that stores the operators' configuration itself and
// provides feeds of changes to the configuration and to the endpoint list. It
// replaces the table of changes and the polled list.
type Source struct {
	Configurations Feed[StoredConfiguration]
	Endpoints      Feed[cataloguer.Endpoint]
	Registry       Registry
	// Decode decodes a configuration from the platform's stored form.
	Decode func(value []byte) (*cataloguer.Configuration, error)
	// Seeds are the peer addresses that an instance without a configuration
	// exchanges with.
	Seeds []string
	// RetainAfterOutage is how long an endpoint whose entry disappeared during an
	// outage of the platform is still treated as listed after the outage.
	RetainAfterOutage time.Duration
	// SweepAfter is how long an instance must have been silent before its row is removed
	// from the registry; 0 selects a minute.
	SweepAfter time.Duration
}

// StoredConfiguration is a configuration in the platform's stored form and in decoded
// form.
type StoredConfiguration struct {
	Value         []byte
	Configuration *cataloguer.Configuration
}

// siteKey is the key under which the platform's configuration is stored among
// the declarations, so that instances pass it on to each other like declarations.
const siteKey = declarer.Key("site")

// fleet holds the entries of the platform's endpoint list. Only the control loop
// accesses it.
type fleet struct {
	endpoints map[string]cataloguer.Endpoint
	// retainedUntil holds, for each endpoint whose entry disappeared from the list
	// during or just after an outage, the time until which it is still treated as
	// listed. It is removed with the first change that is applied after that time.
	retainedUntil map[string]time.Time
	// lastFailure is when a request to the platform last failed.
	lastFailure time.Time
	// position is the point in the list's history up to which it was read, and
	// retainedSince the last one at which all entries were still in the list, while any is
	// retained.
	position      identifier.Position
	retainedSince identifier.Position
	departures    departures
	returned      returnedEntries
	// beyond has the names of the endpoints that are left out because their entries name
	// layers that the model does not have.
	beyond map[string]bool
}

// runSource is Run for a platform with a Source.
func (c *Controller) runSource(ctx context.Context) error {
	c.state.Unproven = true
	c.fleet = fleet{
		endpoints:     make(map[string]cataloguer.Endpoint),
		retainedUntil: make(map[string]time.Time),
		beyond:        make(map[string]bool),
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return consumeFeed(ctx, c, "configuration", c.Source.Configurations, c.applyConfiguration)
	})
	group.Go(func() error {
		return consumeFeed(ctx, c, "endpoints", c.Source.Endpoints, c.applyEndpoints)
	})
	group.Go(func() error { return c.runRegistry(ctx) })
	group.Go(func() error { return runPeriodically(ctx, c.Settings.Peer.Interval.Std(), c.exchangeWithRandomPeer) })
	group.Go(func() error { return c.pushUpdates(ctx) })
	group.Go(func() error { return c.exchangeWithSeeds(ctx) })
	return group.Wait()
}

const (
	// retryPause is the delay before a failed request to the platform is retried.
	retryPause = 200 * time.Millisecond
)

// consumeFeed applies the changes of one feed until ctx ends. It retries after
// an error; the state received so far stays in use.
func consumeFeed[T any](ctx context.Context, c *Controller, name string, f Feed[T], apply func(time.Time, cataloguer.Change[T])) error {
	unavailable := false
	for ctx.Err() == nil {
		change, err := f.Next(ctx)
		if err != nil {
			if !unavailable && ctx.Err() == nil {
				c.Log.WithError(err).WithField("feed", name).Warn("platform store lost; going on with what is known")
			}
			unavailable = true
			c.Loop.Post(func() { c.fleet.lastFailure = time.Now() })
			sleep(ctx, jitter(retryPause))
			continue
		}
		if unavailable {
			unavailable = false
			c.Log.WithField("feed", name).Info("platform store back")
		}
		c.Loop.Post(func() {
			c.update(func(now time.Time) { apply(now, change) })
		})
	}
	return nil
}

// applyConfiguration applies a change of the operators' configuration if its revision
// is higher than the one in force, and records that the platform was read. It runs on
// the control loop.
func (c *Controller) applyConfiguration(_ time.Time, change cataloguer.Change[StoredConfiguration]) {
	for _, s := range change.Set {
		c.platformRevision = max(c.platformRevision, s.Configuration.Revision)
		if s.Configuration.Revision <= c.state.Revision() {
			continue
		}
		c.decoded = s.Configuration
		c.state.Restore(&messenger.Change{
			Revision: uint64(s.Configuration.Revision),
			Entries: []*messenger.Entry{{
				Key:   string(siteKey),
				Value: s.Value,
			}},
		})
	}
	c.state.RecordTableRead(change.RequestedAt, c.platformRevision)
}

// outageWindow is how long after a failure of the platform the disappearance of
// an entry from the list is attributed to the outage.
const outageWindow = 3 * time.Second

// applyEndpoints applies a change of the platform's endpoint list. It runs on the
// control loop.
func (c *Controller) applyEndpoints(now time.Time, change cataloguer.Change[cataloguer.Endpoint]) {
	f := &c.fleet
	if change.FailedAt.After(f.lastFailure) {
		f.lastFailure = change.FailedAt
	}
	if change.Restored {
		// Entries of the lost seconds are missing until they are written again.
		f.lastFailure = now
	}
	if c.state.Self.GetUnlisted() {
		c.state.SetListed()
		c.Log.WithField("era", change.Position.Era).WithField("version", change.Position.Version).
			WithField("age-ms", now.Sub(change.RequestedAt).Milliseconds()).
			Info("list of endpoints known; this instance may own pools")
	}
	c.holdReturned(now, &change)
	before := f.position
	if f.position.Before(change.Position) {
		f.position = change.Position
	}
	gone := change.Removed
	if change.Complete {
		for name := range f.endpoints {
			if _, ok := change.Set[name]; !ok {
				gone = append(gone, name)
			}
		}
	}
	for _, name := range gone {
		if _, ok := f.endpoints[name]; !ok {
			continue
		}
		if now.Sub(f.lastFailure) < outageWindow {
			c.retain(name, before)
			continue
		}
		c.removeEndpoint(now, name, "left the list", true)
	}
	for name, e := range change.Set {
		delete(f.retainedUntil, name)
		old, ok := f.endpoints[name]
		if ok && old == e {
			continue
		}
		f.endpoints[name] = e
		c.publishedChangeCount = 0
		c.recordEndpointChange(e, old, ok)
	}
	for name, until := range f.retainedUntil {
		if now.After(until) {
			delete(f.retainedUntil, name)
			c.removeEndpoint(now, name, "did not come back to the list after an outage", false)
		}
	}
}

// retain keeps an endpoint whose entry is not in the list any more but was at the position
// before.
func (c *Controller) retain(name string, before identifier.Position) {
	f := &c.fleet
	if _, ok := f.retainedUntil[name]; ok {
		return
	}
	if len(f.retainedUntil) == 0 {
		f.retainedSince = before
	}
	f.retainedUntil[name] = f.lastFailure.Add(c.Source.RetainAfterOutage)
}

// listed returns the position in the list's history at which all endpoints that are treated
// as listed were in it.
func (f *fleet) listed() identifier.Position {
	if len(f.retainedUntil) > 0 {
		return f.retainedSince
	}
	return f.position
}

// recordEndpointChange logs the difference between an endpoint's old and new
// entry, and marks the endpoint if it has begun to leave.
func (c *Controller) recordEndpointChange(e, old cataloguer.Endpoint, existed bool) {
	log := c.Log.WithField("endpoint", e.Endpoint).WithField("service", e.Service)
	switch {
	case e.Leaving && !old.Leaving:
		c.state.Mark(time.Now(), e.EndpointIncarnation)
		log.Info("endpoint leaves")
	case !existed || old.EndpointIncarnation != e.EndpointIncarnation:
		log.WithField("address", e.Address).Info("endpoint is new")
	case old.From != e.From || old.To != e.To:
		log.WithField("from", e.From).WithField("to", e.To).Info("endpoint holds other layers")
	}
}

// removeEndpoint removes an endpoint that is not in the list any more. certain is set if its
// entry was taken out of the list, and did not just fail to come back after an outage.
func (c *Controller) removeEndpoint(now time.Time, name, reason string, certain bool) {
	c.fleet.departures.add(now, c.fleet.endpoints[name].EndpointIncarnation, departure{
		position:  c.fleet.position,
		learnedAt: now,
		certain:   certain,
	})
	c.dropEndpoint(name, reason)
}

// dropEndpoint removes an endpoint.
func (c *Controller) dropEndpoint(name, reason string) {
	delete(c.fleet.endpoints, name)
	delete(c.fleet.beyond, name)
	c.publishedChangeCount = 0
	c.Log.WithField("endpoint", name).WithField("reason", reason).Info("endpoint gone")
}

// fleetByService returns the listed endpoints by service, ordered by name. An
// endpoint that is marked as leaving, for instance by a peer, is returned as
// leaving. One whose address is also listed with a later incarnation for the same
// service is left out, and one with layers that the model does not have.
func (c *Controller) fleetByService() map[identifier.Service][]cataloguer.Endpoint {
	out := make(map[identifier.Service][]cataloguer.Endpoint)
	latest := c.fleet.latestIncarnations()
	for name, e := range c.fleet.endpoints {
		if e.Incarnation < latest[serviceAddressOf(e)] || c.beyondModel(name, e) {
			continue
		}
		e.Leaving = e.Leaving || c.state.Marked(e.EndpointIncarnation)
		out[e.Service] = append(out[e.Service], e)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b cataloguer.Endpoint) int {
			return strings.Compare(string(a.Endpoint), string(b.Endpoint))
		})
	}
	return out
}

// beyondModel reports whether an endpoint's entry names layers that the model does not have.
// No endpoint writes such an entry. It is logged when it is first seen.
func (c *Controller) beyondModel(name string, e cataloguer.Endpoint) bool {
	f := &c.fleet
	engine := c.site.Services[e.Service].Engine
	if engine == nil || engine.Layers == 0 || !e.HoldsLayers() || e.To <= engine.Layers {
		delete(f.beyond, name)
		return false
	}
	if !f.beyond[name] {
		f.beyond[name] = true
		c.Log.WithField("endpoint", name).WithField("from", e.From).WithField("to", e.To).Warn("endpoint names layers that the model does not have; it is not used")
	}
	return true
}

// serviceAddress is an address at which an endpoint of a service is reached.
type serviceAddress struct {
	service identifier.Service
	address string
}

func serviceAddressOf(e cataloguer.Endpoint) serviceAddress {
	return serviceAddress{
		service: e.Service,
		address: e.Address,
	}
}

// latestIncarnations returns the highest incarnation that is listed for each
// service and address. Endpoints without an address are ignored.
func (f *fleet) latestIncarnations() map[serviceAddress]identifier.Incarnation {
	out := make(map[serviceAddress]identifier.Incarnation)
	for _, e := range f.endpoints {
		if e.Address != "" {
			out[serviceAddressOf(e)] = max(out[serviceAddressOf(e)], e.Incarnation)
		}
	}
	return out
}

// seedDelay is how long the instance waits for the store's response before it
// asks the seeds: when the store and all seeds send a large configuration at
// once, each transfer is delayed.
const seedDelay = 300 * time.Millisecond

// exchangeWithSeeds exchanges with one seed after another until the instance has
// a configuration, so that it can start while the platform's store is unavailable.
func (c *Controller) exchangeWithSeeds(ctx context.Context) error {
	if !sleep(ctx, seedDelay) {
		return nil
	}
	for {
		for _, address := range c.Source.Seeds {
			revision, err := executor.Get(ctx, c.Loop, c.state.Revision)
			if err != nil || revision > 0 {
				return nil
			}
			if address == c.Settings.Listen.Peer {
				continue
			}
			if _, err := c.Exchange(ctx, &messenger.Member{Address: address}); err != nil {
				c.Log.WithError(err).WithField("address", address).Debug("seed not reached")
			}
		}
		if !sleep(ctx, jitter(c.Settings.Peer.Interval.Std())) {
			return nil
		}
	}
}
