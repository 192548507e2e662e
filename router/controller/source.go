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
	"heatherhold.dev/router/looper"
)

// Feed tells of the changes of one table; the first change is the whole table.
type Feed[T any] interface {
	Next(ctx context.Context) (cataloguer.Change[T], error)
}

// Registry is where instances find each other.
type Registry interface {
	Announce(ctx context.Context, l messenger.Listed) error
	List(ctx context.Context) ([]messenger.Listed, error)
}

// Source is a platform that keeps the operators' configuration itself, and
// tells of its changes and of the endpoints'. It takes the place of the table
// of changes and of the polled list.
type Source struct {
	Configurations Feed[Site]
	Endpoints      Feed[cataloguer.Endpoint]
	Registry       Registry
	// Decode reads a configuration as the platform keeps it.
	Decode func(value []byte) (*cataloguer.Configuration, error)
	// Seeds are peer addresses to ask first.
	Seeds []string
	// Lapse is how long after an outage of the platform an endpoint that left
	// the list meanwhile is still believed in.
	Lapse time.Duration
}

// Site is a configuration as the platform keeps it, and as it was read.
type Site struct {
	Value         []byte
	Configuration *cataloguer.Configuration
}

// siteKey is where the platform's configuration lies among the declarations, so
// that it spreads between instances like them.
const siteKey = declarer.Key("site")

// fleet is what the platform's list holds, on the control loop.
type fleet struct {
	endpoints map[string]cataloguer.Endpoint
	// lapsed has the endpoints that left the list in an outage, and until when
	// they are believed in.
	lapsed map[string]time.Time
	// trouble is when the platform last failed to answer.
	trouble time.Time
}

// runSource follows the platform until ctx ends.
func (c *Controller) runSource(ctx context.Context) error {
	c.fleet = fleet{
		endpoints: make(map[string]cataloguer.Endpoint),
		lapsed:    make(map[string]time.Time),
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return follow(ctx, c, "configuration", c.Source.Configurations, c.takeSite)
	})
	group.Go(func() error {
		return follow(ctx, c, "endpoints", c.Source.Endpoints, c.takeEndpoints)
	})
	group.Go(func() error { return every(ctx, c.Settings.Platform.ListInterval.Std(), c.readRegistry) })
	group.Go(func() error { return every(ctx, c.Settings.Peer.Interval.Std(), c.exchangeOne) })
	group.Go(func() error { return c.pushNews(ctx) })
	group.Go(func() error { return c.askSeeds(ctx) })
	return group.Wait()
}

const (
	// retryPause is the wait after a question that the platform did not answer.
	retryPause = 200 * time.Millisecond
)

// follow takes in the changes of one feed until ctx ends.
func follow[T any](ctx context.Context, c *Controller, what string, f Feed[T], take func(time.Time, cataloguer.Change[T])) error {
	lost := false
	for ctx.Err() == nil {
		change, err := f.Next(ctx)
		if err != nil {
			if !lost && ctx.Err() == nil {
				c.Log.WithError(err).WithField("feed", what).Warn("platform store lost; going on with what is known")
			}
			lost = true
			c.Loop.Post(func() { c.fleet.trouble = time.Now() })
			pause(ctx, jitter(retryPause))
			continue
		}
		if lost {
			lost = false
			c.Log.WithField("feed", what).Info("platform store back")
		}
		c.Loop.Post(func() {
			c.update(func(now time.Time) { take(now, change) })
		})
	}
	return nil
}

// takeSite takes in the operators' configuration. It runs on the control loop.
func (c *Controller) takeSite(_ time.Time, change cataloguer.Change[Site]) {
	for _, s := range change.Set {
		c.head = max(c.head, s.Configuration.Revision)
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
	c.state.TableRead(change.Asked, c.head)
}

// lapseWindow is for how long after an outage entries that leave the list are
// taken to have lapsed in it.
const lapseWindow = 3 * time.Second

// takeEndpoints takes in the platform's list. It runs on the control loop.
func (c *Controller) takeEndpoints(now time.Time, change cataloguer.Change[cataloguer.Endpoint]) {
	f := &c.fleet
	gone := change.Gone
	if change.Whole {
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
		if now.Sub(f.trouble) < lapseWindow {
			if _, ok := f.lapsed[name]; !ok {
				f.lapsed[name] = f.trouble.Add(c.Source.Lapse)
			}
			continue
		}
		c.drop(name, "left the list")
	}
	for name, e := range change.Set {
		delete(f.lapsed, name)
		old, ok := f.endpoints[name]
		if ok && old == e {
			continue
		}
		f.endpoints[name] = e
		c.edits = 0
		c.note(e, old, ok)
	}
	for name, until := range f.lapsed {
		if now.After(until) {
			delete(f.lapsed, name)
			c.drop(name, "did not come back to the list after an outage")
		}
	}
}

// note logs what is new of an endpoint, and marks one that leaves.
func (c *Controller) note(e, old cataloguer.Endpoint, known bool) {
	log := c.Log.WithField("endpoint", e.Endpoint).WithField("service", e.Service)
	switch {
	case e.Leaving && !old.Leaving:
		c.state.Mark(time.Now(), e.Life)
		log.Info("endpoint leaves")
	case !known || old.Life != e.Life:
		log.WithField("address", e.Address).Info("endpoint is new")
	case old.From != e.From || old.To != e.To:
		log.WithField("from", e.From).WithField("to", e.To).Info("endpoint holds other layers")
	}
}

func (c *Controller) drop(name, why string) {
	delete(c.fleet.endpoints, name)
	c.edits = 0
	c.Log.WithField("endpoint", name).WithField("reason", why).Info("endpoint gone")
}

// fleetByService returns the list by service, in order. An endpoint that a peer
// knows to leave counts as leaving, and one whose address a later one has as gone.
func (c *Controller) fleetByService() map[identifier.Service][]cataloguer.Endpoint {
	out := make(map[identifier.Service][]cataloguer.Endpoint)
	latest := c.fleet.latest()
	for _, e := range c.fleet.endpoints {
		if e.Incarnation < latest[placeOf(e)] {
			continue
		}
		e.Leaving = e.Leaving || c.state.Marked(e.Life)
		out[e.Service] = append(out[e.Service], e)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b cataloguer.Endpoint) int {
			return strings.Compare(string(a.Endpoint), string(b.Endpoint))
		})
	}
	return out
}

// place is where an endpoint serves.
type place struct {
	service identifier.Service
	address string
}

func placeOf(e cataloguer.Endpoint) place {
	return place{
		service: e.Service,
		address: e.Address,
	}
}

// latest returns, for each place, the start of the endpoint that came last.
func (f *fleet) latest() map[place]identifier.Incarnation {
	out := make(map[place]identifier.Incarnation)
	for _, e := range f.endpoints {
		if e.Address != "" {
			out[placeOf(e)] = max(out[placeOf(e)], e.Incarnation)
		}
	}
	return out
}

// readRegistry enters the instance, if it is missing, and reads who else is there.
func (c *Controller) readRegistry(ctx context.Context) {
	listed, err := c.Source.Registry.List(ctx)
	if err != nil {
		c.Log.WithError(err).Debug("registry of instances not read")
		return
	}
	if !slices.Contains(listed, c.self()) && !c.Observer.Stopping() {
		if err := c.Source.Registry.Announce(ctx, c.self()); err != nil {
			c.Log.WithError(err).Warn("instance not entered in the registry; it is tried again")
		}
	}
	members := make([]*messenger.Member, 0, len(listed))
	for _, l := range listed {
		members = append(members, &messenger.Member{
			Instance:    l.Name,
			Address:     l.Address,
			Site:        l.Site,
			Incarnation: l.Incarnation,
		})
	}
	c.Loop.Post(func() {
		c.update(func(now time.Time) { c.state.Listed(now, members) })
	})
}

// seedDelay is the head start that the store's answer has over the seeds': a
// large configuration that comes from all of them at once comes late from each.
const seedDelay = 300 * time.Millisecond

// askSeeds exchanges with one seed after another until the instance knows a
// configuration, so that it can start while the platform's store is down.
func (c *Controller) askSeeds(ctx context.Context) error {
	if !pause(ctx, seedDelay) {
		return nil
	}
	for {
		for _, address := range c.Source.Seeds {
			revision, err := looper.Get(ctx, c.Loop, c.state.Revision)
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
		if !pause(ctx, jitter(c.Settings.Peer.Interval.Std())) {
			return nil
		}
	}
}
