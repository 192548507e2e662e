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
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/looper"
	"heatherhold.dev/router/observer"
)

// feed is a platform's feed that a test fills; while it is down it fails.
type feed[T any] struct {
	changes chan cataloguer.Change[T]
	down    chan struct{}
}

func newFeed[T any]() *feed[T] {
	return &feed[T]{
		changes: make(chan cataloguer.Change[T], 10),
		down:    make(chan struct{}, 10),
	}
}

func (f *feed[T]) Next(ctx context.Context) (cataloguer.Change[T], error) {
	select {
	case <-ctx.Done():
		return cataloguer.Change[T]{}, ctx.Err()
	case <-f.down:
		return cataloguer.Change[T]{}, errors.New("the store is down")
	case c := <-f.changes:
		c.Asked = time.Now()
		return c, nil
	}
}

// registry lists instances and takes no entry.
type registry struct {
	mu     sync.Mutex
	listed []messenger.Listed
}

func (r *registry) Announce(context.Context, messenger.Listed) error { return nil }

func (r *registry) List(context.Context) ([]messenger.Listed, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed, nil
}

const lapse = 300 * time.Millisecond

// instance is a controller with a platform of its own.
type instance struct {
	observer   *observer.Observer
	controller *controller.Controller
	sites      *feed[controller.Site]
	endpoints  *feed[cataloguer.Endpoint]
}

// start runs a controller until the test ends.
func start(t *testing.T) *instance {
	t.Helper()
	return startWith(t, func(*controller.Controller) {})
}

// startWith runs a controller whose source was changed until the test ends.
func startWith(t *testing.T, change func(*controller.Controller)) *instance {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &loader.Settings{Instance: "i1"}
	s.Listen.Peer = "127.0.0.1:1"
	s.Peer.Term = identifier.DurationOf(2 * time.Second)
	s.Peer.Interval = identifier.DurationOf(time.Second)
	s.Platform.ListInterval = identifier.DurationOf(time.Second)
	loop := looper.New()
	i := &instance{
		observer:  observer.New(),
		sites:     newFeed[controller.Site](),
		endpoints: newFeed[cataloguer.Endpoint](),
	}
	i.controller = controller.New(s, loop)
	i.controller.Observer = i.observer
	i.controller.Dialer = &dialer.Dialer{}
	i.controller.Log = log
	i.controller.Source = &controller.Source{
		Configurations: i.sites,
		Endpoints:      i.endpoints,
		Registry:       &registry{},
		Decode:         decode,
		Lapse:          lapse,
	}
	change(i.controller)
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

// decode reads a configuration as the test writes it: its revision.
func decode(value []byte) (*cataloguer.Configuration, error) {
	var revision uint64
	err := json.Unmarshal(value, &revision)
	return &cataloguer.Configuration{Revision: identifier.Revision(revision)}, err
}

func site(revision uint64) cataloguer.Change[controller.Site] {
	value, _ := json.Marshal(revision)
	return cataloguer.Change[controller.Site]{Set: map[string]controller.Site{"config": {
		Value:         value,
		Configuration: &cataloguer.Configuration{Revision: identifier.Revision(revision)},
	}}}
}

func endpoint(name identifier.Endpoint, leaving bool) cataloguer.Endpoint {
	return cataloguer.Endpoint{
		Life: identifier.Life{
			Endpoint:    name,
			Incarnation: 1,
		},
		Service: "s",
		Leaving: leaving,
	}
}

func whole(endpoints ...cataloguer.Endpoint) cataloguer.Change[cataloguer.Endpoint] {
	c := cataloguer.Change[cataloguer.Endpoint]{
		Whole: true,
		Set:   make(map[string]cataloguer.Endpoint),
	}
	for _, e := range endpoints {
		c.Set[string(e.Endpoint)] = e
	}
	return c
}

// wait waits until the view meets a condition.
func (i *instance) wait(t *testing.T, what string, met func(*observer.View) bool) {
	t.Helper()
	for end := time.Now().Add(soon); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if met(i.observer.View()) {
			return
		}
	}
	t.Fatalf("got view %+v after %v, want %s", i.observer.View(), soon, what)
}

// names returns the endpoints that may get new work.
func names(v *observer.View) string {
	out := ""
	for _, e := range v.Fleet["s"] {
		if !e.Leaving {
			out += string(e.Endpoint) + " "
		}
	}
	return out
}

// soon is well within the bounds of draining and configuration.
const soon = 500 * time.Millisecond

// TestLeaves requires that an endpoint which leaves, and one that is gone, get no
// new work soon after the store says so.
func TestLeaves(t *testing.T) {
	i := start(t)
	i.sites.changes <- site(1)
	i.endpoints.changes <- whole(endpoint("a", false), endpoint("b", false))
	i.wait(t, "both endpoints", func(v *observer.View) bool { return names(v) == "a b " })
	i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{Set: map[string]cataloguer.Endpoint{"a": endpoint("a", true)}}
	i.wait(t, "b alone", func(v *observer.View) bool { return names(v) == "b " })
	i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{Gone: []string{"b"}}
	i.wait(t, "no endpoint", func(v *observer.View) bool { return names(v) == "" })
}

// TestLapsed has entries lapse while the store is away: they are believed in for
// a while after its return, one that comes back stays, and one that does not goes.
func TestLapsed(t *testing.T) {
	i := start(t)
	i.sites.changes <- site(1)
	i.endpoints.changes <- whole(endpoint("a", false), endpoint("b", false))
	i.wait(t, "both endpoints", func(v *observer.View) bool { return names(v) == "a b " })
	i.endpoints.down <- struct{}{}
	time.Sleep(2 * time.Millisecond)
	i.endpoints.changes <- whole()
	time.Sleep(lapse / 3)
	if got := names(i.observer.View()); got != "a b " {
		t.Errorf("got endpoints %q just after an outage, want both", got)
	}
	i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{Set: map[string]cataloguer.Endpoint{"a": endpoint("a", false)}}
	time.Sleep(2 * lapse)
	i.endpoints.changes <- cataloguer.Change[cataloguer.Endpoint]{}
	i.wait(t, "a alone", func(v *observer.View) bool { return names(v) == "a " })
}

// TestNeverBack requires that an older configuration never takes the place of a
// newer one.
func TestNeverBack(t *testing.T) {
	i := start(t)
	i.endpoints.changes <- whole()
	i.sites.changes <- site(5)
	i.wait(t, "revision 5", func(v *observer.View) bool { return v.Revision == 5 })
	i.sites.changes <- site(3)
	i.sites.changes <- site(7)
	seen := identifier.Revision(5)
	i.wait(t, "revision 7, and never one below 5", func(v *observer.View) bool {
		if v.Revision < seen {
			t.Errorf("got revision %d after %d", v.Revision, seen)
		}
		seen = v.Revision
		return v.Revision == 7
	})
}

// peer answers exchanges for a controller.
type peer struct {
	messenger.DRPCPeerUnimplementedServer
	controller *controller.Controller
}

func (p *peer) Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	return p.controller.Answer(ctx, r)
}

// listen serves a controller's peers until the test ends, and returns where.
func listen(t *testing.T, c *controller.Controller) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l, err := c.Dialer.Listen(ctx, "127.0.0.1:0")
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

// TestPeerBrings requires that an instance which the store does not serve takes
// configuration and leaving marks from a peer.
func TestPeerBrings(t *testing.T) {
	served, cut := start(t), start(t)
	cut.endpoints.changes <- whole(endpoint("a", false))
	served.endpoints.changes <- whole(endpoint("a", true))
	served.sites.changes <- site(4)
	served.wait(t, "revision 4", func(v *observer.View) bool { return v.Revision == 4 })
	served.wait(t, "a leaving", func(v *observer.View) bool { return len(v.Fleet["s"]) == 1 && names(v) == "" })
	address := listen(t, served.controller)
	if _, err := cut.controller.Exchange(context.Background(), &messenger.Member{Address: address}); err != nil {
		t.Fatal(err)
	}
	cut.wait(t, "revision 4 and a leaving", func(v *observer.View) bool {
		return v.Revision == 4 && len(v.Fleet["s"]) == 1 && names(v) == ""
	})
}

// TestLargeConfigurationReadTwice guards against a configuration that is read
// once more after it came from the platform, as it holds a slow instance up.
func TestLargeConfigurationReadTwice(t *testing.T) {
	var reads atomic.Int64
	i := startWith(t, func(c *controller.Controller) {
		c.Source.Decode = func(value []byte) (*cataloguer.Configuration, error) {
			reads.Add(1)
			return decode(value)
		}
	})
	i.endpoints.changes <- whole()
	i.sites.changes <- site(1)
	i.wait(t, "revision 1", func(v *observer.View) bool { return v.Revision == 1 })
	i.sites.changes <- site(2)
	i.wait(t, "revision 2", func(v *observer.View) bool { return v.Revision == 2 })
	if got := reads.Load(); got != 0 {
		t.Errorf("reads after the platform's: got %d, want 0", got)
	}
}

// TestSeedsAskedBesideStore guards against an instance that has its configuration
// sent by all seeds while the store sends it: each then comes late.
func TestSeedsAskedBesideStore(t *testing.T) {
	seed := start(t)
	seed.endpoints.changes <- whole()
	seed.sites.changes <- site(3)
	seed.wait(t, "revision 3", func(v *observer.View) bool { return v.Revision == 3 })
	address := listen(t, seed.controller)
	var asked atomic.Int64
	seeded := func(c *controller.Controller) {
		c.Source.Seeds = []string{address, address}
		c.Exchanged = func(error) { asked.Add(1) }
	}
	t.Run("store answers", func(t *testing.T) {
		i := startWith(t, seeded)
		i.endpoints.changes <- whole()
		i.sites.changes <- site(3)
		i.wait(t, "revision 3", func(v *observer.View) bool { return v.Revision == 3 })
		time.Sleep(soon)
		if got := asked.Load(); got != 0 {
			t.Errorf("exchanges with seeds: got %d, want 0", got)
		}
	})
	t.Run("store is away", func(t *testing.T) {
		i := startWith(t, seeded)
		i.endpoints.changes <- whole()
		i.wait(t, "revision 3", func(v *observer.View) bool { return v.Revision == 3 })
		if got := asked.Load(); got != 1 {
			t.Errorf("exchanges with seeds: got %d, want 1", got)
		}
	})
}
