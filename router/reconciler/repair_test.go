package reconciler_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/assigner"
	"heatherhold.dev/router/placer"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/reconciler"
)

const (
	// wholeLoadTime is how long an endpoint takes to load all layers of the model.
	wholeLoadTime = 14 * time.Second
	// listDelay is how long the list shows an endpoint after it has crashed.
	listDelay = 3 * time.Second
	// restartTime is how long a crashed endpoint takes to be listed again, empty.
	restartTime = 3600 * time.Millisecond
	// detectTime is how long the pool's owner takes to learn that an endpoint breaks its
	// streams.
	detectTime = 200 * time.Millisecond
	// orderTime is how long after a change an order may be given.
	orderTime = time.Second
	// instances is how many instances there are.
	instances = 9
	// fleetTick is the step in which the fleet changes.
	fleetTick = 10 * time.Millisecond
)

var errRefused = errors.New("connection refused")

// machine is an endpoint of a fleet.
type machine struct {
	// Endpoint is what the list says of it.
	cataloguer.Endpoint
	listed bool
	up     bool
	// holds is what it holds, and target what it loads until loadedAt.
	holds    placer.Range
	target   placer.Range
	loadedAt time.Time
	// accepted is how many orders it has accepted since its start.
	accepted int64
	// streamsUntil is when the last stream through it ends.
	streamsUntil time.Time
	crashedAt    time.Time
	// stays is set if it doesn't restart after a crash.
	stays bool
}

// loading reports whether the machine carries out an order.
func (m *machine) loading() bool {
	return m.target.To > 0
}

// order is a placement order that an endpoint accepted.
type order struct {
	address string
	at      time.Time
	layers  placer.Range
}

// fleet is a fleet in fake time: the endpoints, and the list of them.
type fleet struct {
	engine *cataloguer.Engine
	leases *placement

	mu         sync.Mutex
	machines   []*machine
	publishers []*publisher.Publisher
	instances  []identifier.Instance
	orders     []order
	// streamsBroken makes all machines break their streams, though they are up.
	streamsBroken bool
	// uncovered is how long a layer had no holder.
	uncovered time.Duration
}

// smallSite returns a fleet of 33 endpoints of three kinds in three data centres, each
// with the layers that the placer gives it.
func smallSite() *fleet {
	f := &fleet{engine: &cataloguer.Engine{
		Layers:       80,
		LayerBytes:   1750e6,
		ContextBytes: 918000,
		Slots:        192,
		UsualPrompt:  774,
		UsualOutput:  203,
		Accelerators: map[cataloguer.Accelerator]cataloguer.Kind{
			"large":  {MemoryBytes: 72000e6},
			"middle": {MemoryBytes: 43200e6},
			"small":  {MemoryBytes: 21600e6},
		},
	}}
	f.add("a", "large", 1)
	f.add("a", "middle", 6)
	f.add("a", "small", 5)
	f.add("b", "large", 2)
	f.add("b", "middle", 2)
	f.add("b", "small", 5)
	f.add("c", "large", 1)
	f.add("c", "middle", 3)
	f.add("c", "small", 8)
	plan := placer.Plan(f.engine, f.list())
	for _, m := range f.machines {
		m.hold(plan[m.EndpointIncarnation])
	}
	return f
}

func (f *fleet) add(centre identifier.DataCentre, kind cataloguer.Accelerator, n int) {
	for i := range n {
		name := fmt.Sprintf("%s-%s-%d", centre, kind, i)
		f.machines = append(f.machines, &machine{
			Endpoint: cataloguer.Endpoint{
				EndpointIncarnation: identifier.EndpointIncarnation{
					Endpoint:    identifier.Endpoint(name),
					Incarnation: 1,
				},
				Service:     service,
				Address:     name,
				DataCentre:  centre,
				Accelerator: kind,
			},
			listed: true,
			up:     true,
		})
	}
}

// hold makes the machine hold layers, and the list say so.
func (m *machine) hold(r placer.Range) {
	m.holds = r
	m.From = r.From
	m.To = r.To
	m.target = placer.Range{}
}

func (f *fleet) list() []cataloguer.Endpoint {
	var out []cataloguer.Endpoint
	for _, m := range f.machines {
		if m.listed {
			out = append(out, m.Endpoint)
		}
	}
	return out
}

func (f *fleet) machine(address string) *machine {
	i := slices.IndexFunc(f.machines, func(m *machine) bool { return m.Address == address })
	return f.machines[i]
}

// holders returns the machines that hold a layer, the largest first.
func (f *fleet) holders(l identifier.Layer) []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*machine
	for _, m := range f.machines {
		if m.up && m.holds.From <= l && l < m.holds.To {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b *machine) int { return cmp.Compare(a.Accelerator, b.Accelerator) })
	return out
}

// crash ends a machine. It restarts, unless it stays away.
func (f *fleet) crash(m *machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.up = false
	m.holds = placer.Range{}
	m.target = placer.Range{}
	m.crashedAt = time.Now()
}

// Report returns a machine's state.
func (f *fleet) Report(_ context.Context, address string) (director.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machine(address)
	if !m.up {
		return director.Report{}, errRefused
	}
	return director.Report{
		Orders: m.accepted,
		Busy:   m.loading(),
	}, nil
}

// Failed returns the machines that broke their streams, as the pool's owner knows them.
func (f *fleet) Failed(context.Context, identifier.Service) (map[identifier.EndpointIncarnation]bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[identifier.EndpointIncarnation]bool)
	for _, m := range f.machines {
		if f.streamsBroken || !m.up && m.listed && time.Since(m.crashedAt) >= detectTime {
			out[m.EndpointIncarnation] = true
		}
	}
	return out, nil
}

// Place lets a machine load layers once its streams have ended.
func (f *fleet) Place(_ context.Context, p director.Placement) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machine(p.Address)
	if !m.up {
		return errRefused
	}
	if m.loading() {
		return director.ErrInvalidState
	}
	now := time.Now()
	r := placer.Range{
		From: p.From,
		To:   p.To,
	}
	m.hold(placer.Range{})
	m.accepted++
	m.target = r
	m.loadedAt = now.Add(max(m.streamsUntil.Sub(now), 0) + f.loadTime(r))
	f.orders = append(f.orders, order{
		address: p.Address,
		at:      now,
		layers:  r,
	})
	return nil
}

// loadTime returns how long an endpoint takes to load layers.
func (f *fleet) loadTime(r placer.Range) time.Duration {
	return wholeLoadTime * time.Duration(r.To-r.From) / time.Duration(f.engine.Layers)
}

// run lets the fleet and the reconcilers of all instances run for a time.
func (f *fleet) run(t *testing.T, period time.Duration, script func(ctx context.Context)) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(t.Context(), period)
	defer cancel()
	f.instances = view(instances).Eligible
	f.leases = newPlacement()
	var group errgroup.Group
	for _, name := range f.instances {
		pub := publisher.New()
		f.publishers = append(f.publishers, pub)
		r := &reconciler.Reconciler{
			Self:      name,
			Publisher: pub,
			Lease: lease{
				placement: f.leases,
				instance:  name,
			},
			Orderer: f,
			Log:     log,
		}
		if rank, _ := assigner.Rank(service, f.instances, name); rank == 0 {
			r.Failed = f.Failed
		}
		group.Go(func() error { return r.Run(ctx) })
	}
	f.publish()
	group.Go(func() error {
		for ctx.Err() == nil {
			f.advance()
			time.Sleep(fleetTick)
		}
		return nil
	})
	script(ctx)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// advance changes the machines and the list up to the present time.
func (f *fleet) advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, m := range f.machines {
		changed = m.advance(time.Now()) || changed
	}
	if !f.covered() {
		f.uncovered += fleetTick
	}
	if changed {
		f.publish()
	}
}

// advance changes a machine up to now. It reports whether the list changed.
func (m *machine) advance(now time.Time) bool {
	switch {
	case m.up && m.loading() && !now.Before(m.loadedAt):
		m.hold(m.target)
	case !m.up && m.listed && now.Sub(m.crashedAt) >= listDelay:
		m.listed = false
	case !m.up && !m.stays && now.Sub(m.crashedAt) >= restartTime:
		m.Incarnation++
		m.accepted = 0
		m.hold(placer.Range{})
		m.up = true
		m.listed = true
	default:
		return false
	}
	return true
}

// publish publishes the list to all instances.
func (f *fleet) publish() {
	v := view(0)
	v.Eligible = f.instances
	v.Site = &cataloguer.Configuration{Services: map[identifier.Service]cataloguer.Service{service: {Engine: f.engine}}}
	v.Fleet = map[identifier.Service][]cataloguer.Endpoint{service: f.list()}
	for _, pub := range f.publishers {
		pub.Publish(v)
	}
}

// covered reports whether each layer has a holder.
func (f *fleet) covered() bool {
	next := identifier.Layer(0)
	for next < f.engine.Layers {
		end := next
		for _, m := range f.machines {
			if m.up && m.holds.From <= next && next < m.holds.To {
				end = max(end, m.holds.To)
			}
		}
		if end == next {
			return false
		}
		next = end
	}
	return true
}

// ordersTo returns the orders that a machine accepted.
func (f *fleet) ordersTo(m *machine) []order {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []order
	for _, o := range f.orders {
		if o.address == m.Address {
			out = append(out, o)
		}
	}
	return out
}

// TestEndpointsWaitForLease guards against endpoints that come back empty and get no
// order for seconds: another instance had taken the lease while earlier ones loaded,
// and waited for its turn while it held the lease.
func TestEndpointsWaitForLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := smallSite()
		crashed := f.holders(0)[:1]
		crashed = append(crashed, f.holders(30)[0], f.holders(70)[0])
		starts := []time.Duration{0, 2 * time.Second, 6500 * time.Millisecond}
		var last time.Duration
		f.run(t, 20*time.Second, func(context.Context) {
			for i, m := range crashed {
				time.Sleep(starts[i] - last)
				last = starts[i]
				f.crash(m)
			}
		})
		for _, m := range crashed {
			orders := f.ordersTo(m)
			if len(orders) == 0 {
				t.Errorf("%s: got no order after its restart", m.Endpoint.Endpoint)
				continue
			}
			if got, want := orders[0].at.Sub(m.crashedAt), restartTime+orderTime; got > want {
				t.Errorf("%s: got an order %v after its crash, want at most %v", m.Endpoint.Endpoint, got, want)
			}
		}
	})
}

// onlyHolder returns a machine whose layers nobody else in its data centre holds.
func (f *fleet) onlyHolder(t *testing.T) *machine {
	t.Helper()
	for _, m := range f.machines {
		alone := !slices.ContainsFunc(f.machines, func(o *machine) bool {
			return o != m && o.DataCentre == m.DataCentre && o.holds.From < m.holds.To && m.holds.From < o.holds.To
		})
		if alone {
			return m
		}
	}
	t.Fatal("each layer has several holders in each data centre, want one that has not")
	return nil
}

// TestMoveTakesCoverAway guards against an endpoint that gives up its layers, and serves
// nothing until its last stream has ended and its load is done, for layers that other
// data centres hold and that the crashed endpoint loads again at once.
func TestMoveTakesCoverAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := smallSite()
		for _, m := range f.machines {
			m.streamsUntil = time.Now().Add(9 * time.Second)
		}
		crashed := f.onlyHolder(t)
		f.run(t, 12*time.Second, func(context.Context) { f.crash(crashed) })
		for _, o := range f.orders {
			if o.address != crashed.Address {
				t.Errorf("%s: got an order to load %d to %d, want orders to %s only", o.address, o.layers.From, o.layers.To, crashed.Address)
			}
		}
		if len(f.ordersTo(crashed)) == 0 {
			t.Errorf("%s: got no order after its restart", crashed.Endpoint.Endpoint)
		}
	})
}

// TestNobodyReplacesLostEndpoint guards against a data centre that holds no copy of some
// layers for good after the loss of an endpoint.
func TestNobodyReplacesLostEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := smallSite()
		crashed := f.onlyHolder(t)
		crashed.stays = true
		layers := crashed.holds
		f.run(t, 12*time.Second, func(context.Context) { f.crash(crashed) })
		for l := layers.From; l < layers.To; l++ {
			if !slices.ContainsFunc(f.holders(l), func(m *machine) bool { return m.DataCentre == crashed.DataCentre }) {
				t.Errorf("layer %d: got no holder in data centre %s, want one", l, crashed.DataCentre)
			}
		}
	})
}

// TestLayerWithoutHolder guards against layers that nobody holds for longer than a load
// and a second: the list shows crashed endpoints for seconds.
func TestLayerWithoutHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := smallSite()
		layers := f.holders(0)[0].holds
		f.run(t, 15*time.Second, func(context.Context) {
			for _, m := range f.holders(0) {
				f.crash(m)
			}
		})
		if got, want := f.uncovered, orderTime+f.loadTime(layers); got > want {
			t.Errorf("layers without a holder: got %v, want at most %v", got, want)
		}
	})
}

// TestSoundEndpointTakenForLost guards against an endpoint that is moved for the layers
// of others that broke streams and still answer.
func TestSoundEndpointTakenForLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := smallSite()
		f.streamsBroken = true
		f.run(t, 5*time.Second, func(context.Context) {})
		for _, o := range f.orders {
			t.Errorf("%s: got an order to load %d to %d, want none", o.address, o.layers.From, o.layers.To)
		}
	})
}

// TestStandbyTakesLeaseWhileEndpointsLoad guards against a lease that leaves the pool's
// owner, who knows which endpoints broke their streams, while nothing is to be ordered.
func TestStandbyTakesLeaseWhileEndpointsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := smallSite()
		first, second := f.holders(0)[0], f.holders(30)[0]
		f.run(t, 15*time.Second, func(context.Context) {
			f.crash(first)
			time.Sleep(2 * time.Second)
			f.crash(second)
		})
		if got, want := len(f.leases.attempts), 1; got != want {
			t.Errorf("instances that asked for the lease: got %v, want the owner only", f.leases.attempts)
		}
	})
}

// TestLayerWithoutHolderAfterOtherCrashes is TestLayerWithoutHolder while the lease for
// earlier crashes may still be held.
func TestLayerWithoutHolderAfterOtherCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := smallSite()
		first, second := f.holders(30)[0], f.holders(70)[0]
		layers := f.holders(0)[0].holds
		f.run(t, 25*time.Second, func(context.Context) {
			f.crash(first)
			time.Sleep(2 * time.Second)
			f.crash(second)
			time.Sleep(7500 * time.Millisecond)
			for _, m := range f.holders(0) {
				f.crash(m)
			}
		})
		if got, want := f.uncovered, orderTime+f.loadTime(layers); got > want {
			t.Errorf("layers without a holder: got %v, want at most %v", got, want)
		}
	})
}
