package controller_test

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/publisher"
)

// fakeFeed is a feed that returns the changes that a test sends to changes. Each
// value sent to down makes one call of Next fail.
type fakeFeed[T any] struct {
	changes chan cataloguer.Change[T]
	down    chan struct{}
}

func newFakeFeed[T any]() *fakeFeed[T] {
	return &fakeFeed[T]{
		changes: make(chan cataloguer.Change[T], 10),
		down:    make(chan struct{}, 10),
	}
}

func (f *fakeFeed[T]) Next(ctx context.Context) (cataloguer.Change[T], error) {
	select {
	case <-ctx.Done():
		return cataloguer.Change[T]{}, ctx.Err()
	case <-f.down:
		return cataloguer.Change[T]{}, errors.New("the store is unavailable")
	case c := <-f.changes:
		c.RequestedAt = time.Now()
		return c, nil
	}
}

// fakeRegistry lists instances and ignores announcements.
type fakeRegistry struct {
	mu     sync.Mutex
	listed []messenger.RegisteredInstance
	// lists and registrations count the calls; the first failures registrations fail.
	lists         int
	registrations int
	failures      int
	era           identifier.Era
}

// Register counts an announcement.
func (r *fakeRegistry) Register(context.Context, messenger.ListedInstance) (identifier.Position, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registrations++
	if r.registrations <= r.failures {
		return identifier.Position{}, errors.New("the store is unavailable")
	}
	return identifier.Position{
		Era:     r.era,
		Version: 1,
	}, nil
}

// Remove ignores the removal.
func (r *fakeRegistry) Remove(context.Context, identifier.Era, []messenger.RegisteredInstance) error {
	return nil
}

func (r *fakeRegistry) List(context.Context) ([]messenger.RegisteredInstance, identifier.Era, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
	return r.listed, r.era, nil
}

const retainAfterOutage = 300 * time.Millisecond

// instance is a controller with its own fake platform.
type instance struct {
	publisher  *publisher.Publisher
	controller *controller.Controller
	sites      *fakeFeed[controller.StoredConfiguration]
	endpoints  *fakeFeed[cataloguer.Endpoint]
}

// start runs a controller until the test ends.
func start(t testing.TB) *instance {
	t.Helper()
	return startConfigured(t, func(*controller.Controller) {})
}

// startConfigured runs a controller, after configure has modified it, until the
// test ends.
func startConfigured(t testing.TB, configure func(*controller.Controller)) *instance {
	t.Helper()
	return startNamed(t, "i1", "127.0.0.1:1", configure)
}

// startNamed is startConfigured for an instance with a name and a peer address.
func startNamed(t testing.TB, name identifier.Instance, address string, configure func(*controller.Controller)) *instance {
	t.Helper()
	return startSettings(t, name, address, func(*loader.Settings) {}, configure)
}

// startSettings is startNamed for an instance with settings of its own.
func startSettings(t testing.TB, name identifier.Instance, address string, set func(*loader.Settings), configure func(*controller.Controller)) *instance {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &loader.Settings{Instance: name}
	s.Listen.Peer = address
	s.Peer.Term = identifier.DurationOf(2 * time.Second)
	s.Peer.Interval = identifier.DurationOf(time.Second)
	s.Platform.ListInterval = identifier.DurationOf(time.Second)
	set(s)
	loop := executor.New()
	i := &instance{
		publisher: publisher.New(),
		sites:     newFakeFeed[controller.StoredConfiguration](),
		endpoints: newFakeFeed[cataloguer.Endpoint](),
	}
	i.controller = controller.New(s, loop)
	i.controller.Publisher = i.publisher
	i.controller.Dialer = &dialer.Dialer{}
	i.controller.Log = log
	i.controller.Source = &controller.Source{
		Configurations:    i.sites,
		Endpoints:         i.endpoints,
		Registry:          &fakeRegistry{},
		Decode:            decode,
		RetainAfterOutage: retainAfterOutage,
	}
	configure(i.controller)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return i.controller.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return i
}

// decode decodes a configuration, which the tests encode as its revision alone.
func decode(value []byte) (*cataloguer.Configuration, error) {
	var revision uint64
	err := json.Unmarshal(value, &revision)
	return &cataloguer.Configuration{Revision: identifier.Revision(revision)}, err
}

func configurationAt(revision uint64) cataloguer.Change[controller.StoredConfiguration] {
	value, _ := json.Marshal(revision)
	return cataloguer.Change[controller.StoredConfiguration]{Set: map[string]controller.StoredConfiguration{"config": {
		Value:         value,
		Configuration: &cataloguer.Configuration{Revision: identifier.Revision(revision)},
	}}}
}

func endpoint(name identifier.Endpoint, leaving bool) cataloguer.Endpoint {
	return cataloguer.Endpoint{
		EndpointIncarnation: identifier.EndpointIncarnation{
			Endpoint:    name,
			Incarnation: 1,
		},
		Service: "s",
		Leaving: leaving,
	}
}

func fullList(endpoints ...cataloguer.Endpoint) cataloguer.Change[cataloguer.Endpoint] {
	c := cataloguer.Change[cataloguer.Endpoint]{
		Complete: true,
		Set:      make(map[string]cataloguer.Endpoint),
	}
	for _, e := range endpoints {
		c.Set[string(e.Endpoint)] = e
	}
	return c
}

// waitFor waits until the view meets a condition, which want describes.
func (i *instance) waitFor(t *testing.T, want string, condition func(*publisher.View) bool) {
	t.Helper()
	for deadline := time.Now().Add(updateTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition(i.publisher.View()) {
			return
		}
	}
	t.Fatalf("got view %+v after %v, want %s", i.publisher.View(), updateTimeout, want)
}

// availableEndpoints returns the names of the endpoints that may get new work.
func availableEndpoints(v *publisher.View) string {
	out := ""
	for _, e := range v.Fleet["s"] {
		if !e.Leaving {
			out += string(e.Endpoint) + " "
		}
	}
	return out
}

// updateTimeout is well below the time limits for draining and for applying a
// configuration.
const updateTimeout = 500 * time.Millisecond

// TestLeavingEndpointGetsNoWork requires that endpoints which are leaving or gone
// get no new work soon after the store reports the change.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	i := start(t)
	i.sites.changes <- configurationAt(1)
	i.endpoints.changes <- fullList(endpoint("a", false), endpoint("b", false))
	i.waitFor(t, "both endpoints", func(v *publisher.View) bool { return availableEndpoints(v) == "a b " })
	i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{Set: map[string]cataloguer.Endpoint{"a": endpoint("a", true)}}
	i.waitFor(t, "only endpoint b", func(v *publisher.View) bool { return availableEndpoints(v) == "b " })
	i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{Removed: []string{"b"}}
	i.waitFor(t, "no endpoint", func(v *publisher.View) bool { return availableEndpoints(v) == "" })
}

// TestEndpointsRetainedAfterOutage has entries disappear during an outage of the
// store. Their endpoints stay in use for a while after the outage; then one that
// is listed again stays and one that is not is removed.
func TestEndpointsRetainedAfterOutage(t *testing.T) {
	i := start(t)
	i.sites.changes <- configurationAt(1)
	i.endpoints.changes <- fullList(endpoint("a", false), endpoint("b", false))
	i.waitFor(t, "both endpoints", func(v *publisher.View) bool { return availableEndpoints(v) == "a b " })
	i.endpoints.down <- struct{}{}
	time.Sleep(2 * time.Millisecond)
	i.endpoints.changes <- fullList()
	time.Sleep(retainAfterOutage / 3)
	if got := availableEndpoints(i.publisher.View()); got != "a b " {
		t.Errorf("got endpoints %q just after an outage, want both", got)
	}
	i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{Set: map[string]cataloguer.Endpoint{"a": endpoint("a", false)}}
	time.Sleep(2 * retainAfterOutage)
	i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{}
	i.waitFor(t, "only endpoint a", func(v *publisher.View) bool { return availableEndpoints(v) == "a " })
}

// TestLiveEndpointDroppedByRestoredStore guards against an endpoint that drops out because
// its entry was written in the seconds that the store lost; no call to the store failed.
func TestLiveEndpointDroppedByRestoredStore(t *testing.T) {
	i := start(t)
	i.sites.changes <- configurationAt(1)
	i.endpoints.changes <- fullList(endpoint("a", false), endpoint("b", false))
	i.waitFor(t, "both endpoints", func(v *publisher.View) bool { return availableEndpoints(v) == "a b " })
	restored := fullList(endpoint("a", false))
	restored.Restored = true
	i.endpoints.changes <- restored
	time.Sleep(retainAfterOutage / 3)
	if got := availableEndpoints(i.publisher.View()); got != "a b " {
		t.Errorf("endpoints just after the restoration: got %q, want both", got)
	}
	time.Sleep(retainAfterOutage)
	i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{}
	i.waitFor(t, "only endpoint a", func(v *publisher.View) bool { return availableEndpoints(v) == "a " })
}

// TestDepartedEndpointBackInRestoredStore guards against work for an endpoint that had left
// and whose entry came back with the older copy.
func TestDepartedEndpointBackInRestoredStore(t *testing.T) {
	i := start(t)
	i.sites.changes <- configurationAt(1)
	i.endpoints.changes <- fullList(endpoint("a", false), endpoint("b", false), endpoint("c", false))
	i.waitFor(t, "all endpoints", func(v *publisher.View) bool { return availableEndpoints(v) == "a b c " })
	i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{Removed: []string{"b", "c"}}
	i.waitFor(t, "only endpoint a", func(v *publisher.View) bool { return availableEndpoints(v) == "a " })
	restored := fullList(endpoint("a", false), endpoint("b", false), endpoint("c", false), endpoint("d", false))
	restored.Restored = true
	i.endpoints.changes <- restored
	i.waitFor(t, "endpoint d", func(v *publisher.View) bool { return availableEndpoints(v) != "a " })
	if got, want := availableEndpoints(i.publisher.View()), "a d "; got != want {
		t.Errorf("endpoints after the restoration: got %q, want %q", got, want)
	}
	i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{
		Set:     map[string]cataloguer.Endpoint{"b": endpoint("b", false)},
		Removed: []string{"c"},
	}
	i.waitFor(t, "endpoint b, which wrote its entry again", func(v *publisher.View) bool { return availableEndpoints(v) == "a b d " })
}

// TestLeavingRevokedByRestoredStore guards against work for an endpoint that has said that it
// leaves, when an older copy of the store says that it is ready.
func TestLeavingRevokedByRestoredStore(t *testing.T) {
	for name, leave := range map[string]func(i *instance){
		"by its entry": func(i *instance) {
			i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{Set: map[string]cataloguer.Endpoint{"a": endpoint("a", true)}}
		},
		"by its answer": func(i *instance) { i.controller.MarkLeaving(endpoint("a", false).EndpointIncarnation) },
	} {
		t.Run(name, func(t *testing.T) {
			i := start(t)
			i.sites.changes <- configurationAt(1)
			i.endpoints.changes <- fullList(endpoint("a", false), endpoint("b", false))
			i.waitFor(t, "both endpoints", func(v *publisher.View) bool { return availableEndpoints(v) == "a b " })
			leave(i)
			i.waitFor(t, "only endpoint b", func(v *publisher.View) bool { return availableEndpoints(v) == "b " })
			restored := fullList(endpoint("a", false), endpoint("b", false), endpoint("c", false))
			restored.Restored = true
			i.endpoints.changes <- restored
			i.waitFor(t, "endpoints b and c", func(v *publisher.View) bool { return availableEndpoints(v) == "b c " })
		})
	}
}

// TestOlderConfigurationAtStart guards against an instance that starts while a restored store
// still has an older configuration, and keeps to it although a peer knows the newer one.
func TestOlderConfigurationAtStart(t *testing.T) {
	running, starting := start(t), start(t)
	running.endpoints.changes <- fullList()
	running.sites.changes <- configurationAt(5)
	running.waitFor(t, "revision 5", func(v *publisher.View) bool { return v.Revision == 5 })
	address := listen(t, running.controller)
	starting.endpoints.changes <- fullList()
	starting.sites.changes <- configurationAt(3)
	starting.waitFor(t, "revision 3", func(v *publisher.View) bool { return v.Revision == 3 })
	if _, err := starting.controller.Exchange(t.Context(), &messenger.Member{Address: address}); err != nil {
		t.Fatal(err)
	}
	starting.waitFor(t, "revision 5", func(v *publisher.View) bool { return v.Revision == 5 })
	// The older one, once more, before the operator has written the newer one again.
	older := configurationAt(3)
	older.Complete, older.Restored = true, true
	starting.sites.changes <- older
	time.Sleep(updateTimeout)
	if got, want := starting.publisher.View().Revision, identifier.Revision(5); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}

// TestRevisionNeverDecreases requires that an older configuration never replaces
// a newer one.
func TestRevisionNeverDecreases(t *testing.T) {
	i := start(t)
	i.endpoints.changes <- fullList()
	i.sites.changes <- configurationAt(5)
	i.waitFor(t, "revision 5", func(v *publisher.View) bool { return v.Revision == 5 })
	i.sites.changes <- configurationAt(3)
	i.sites.changes <- configurationAt(7)
	last := identifier.Revision(5)
	i.waitFor(t, "revision 7, and never one below 5", func(v *publisher.View) bool {
		if v.Revision < last {
			t.Errorf("got revision %d after %d", v.Revision, last)
		}
		last = v.Revision
		return v.Revision == 7
	})
}

// peer serves exchange requests for a controller.
type peer struct {
	messenger.DRPCPeerUnimplementedServer
	controller *controller.Controller
}

func (p *peer) Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	return p.controller.HandleExchange(ctx, r)
}

// listen serves exchange requests for a controller until the test ends, and
// returns the address.
func listen(t testing.TB, c *controller.Controller) string {
	t.Helper()
	return listenAt(t, c, "127.0.0.1:0")
}

// listenAt is listen at a given address.
func listenAt(t testing.TB, c *controller.Controller, address string) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l, err := c.Dialer.Listen(ctx, address)
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeer(mux, &peer{controller: c}); err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error { return drpcserver.New(mux).Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return l.Addr().String()
}

// TestStateReceivedFromPeer requires that an instance takes the configuration and
// the marks of leaving endpoints from a peer when the store does not provide them.
func TestStateReceivedFromPeer(t *testing.T) {
	connected, isolated := start(t), start(t)
	isolated.endpoints.changes <- fullList(endpoint("a", false))
	connected.endpoints.changes <- fullList(endpoint("a", true))
	connected.sites.changes <- configurationAt(4)
	connected.waitFor(t, "revision 4", func(v *publisher.View) bool { return v.Revision == 4 })
	connected.waitFor(t, "endpoint a leaving", func(v *publisher.View) bool { return len(v.Fleet["s"]) == 1 && availableEndpoints(v) == "" })
	address := listen(t, connected.controller)
	if _, err := isolated.controller.Exchange(context.Background(), &messenger.Member{Address: address}); err != nil {
		t.Fatal(err)
	}
	isolated.waitFor(t, "revision 4 and endpoint a leaving", func(v *publisher.View) bool {
		return v.Revision == 4 && len(v.Fleet["s"]) == 1 && availableEndpoints(v) == ""
	})
}

// TestConfigurationDecodedOnce guards against decoding a configuration a second
// time after the platform delivered it decoded, which delays a slow instance if
// the configuration is large.
func TestConfigurationDecodedOnce(t *testing.T) {
	var decodes atomic.Int64
	i := startConfigured(t, func(c *controller.Controller) {
		c.Source.Decode = func(value []byte) (*cataloguer.Configuration, error) {
			decodes.Add(1)
			return decode(value)
		}
	})
	i.endpoints.changes <- fullList()
	i.sites.changes <- configurationAt(1)
	i.waitFor(t, "revision 1", func(v *publisher.View) bool { return v.Revision == 1 })
	i.sites.changes <- configurationAt(2)
	i.waitFor(t, "revision 2", func(v *publisher.View) bool { return v.Revision == 2 })
	if got := decodes.Load(); got != 0 {
		t.Errorf("further decodes of a configuration from the platform: got %d, want 0", got)
	}
}

// TestSeedsNotAskedWhileStoreResponds guards against an instance that requests its
// configuration from all seeds while the store is sending it, which delays each
// transfer.
func TestSeedsNotAskedWhileStoreResponds(t *testing.T) {
	seed := start(t)
	seed.endpoints.changes <- fullList()
	seed.sites.changes <- configurationAt(3)
	seed.waitFor(t, "revision 3", func(v *publisher.View) bool { return v.Revision == 3 })
	address := listen(t, seed.controller)
	var exchanges atomic.Int64
	withSeeds := func(c *controller.Controller) {
		c.Source.Seeds = []string{address, address}
		c.OnExchange = func(error) { exchanges.Add(1) }
	}
	t.Run("store available", func(t *testing.T) {
		i := startConfigured(t, withSeeds)
		i.endpoints.changes <- fullList()
		i.sites.changes <- configurationAt(3)
		i.waitFor(t, "revision 3", func(v *publisher.View) bool { return v.Revision == 3 })
		time.Sleep(updateTimeout)
		if got := exchanges.Load(); got != 0 {
			t.Errorf("exchanges with seeds: got %d, want 0", got)
		}
	})
	t.Run("store unavailable", func(t *testing.T) {
		i := startConfigured(t, withSeeds)
		i.endpoints.changes <- fullList()
		i.waitFor(t, "revision 3", func(v *publisher.View) bool { return v.Revision == 3 })
		if got := exchanges.Load(); got != 1 {
			t.Errorf("exchanges with seeds: got %d, want 1", got)
		}
	})
}
