package controller_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/controller"
)

// sharedRegistry is a registry of several instances.
type sharedRegistry struct {
	mu      sync.Mutex
	version identifier.RowVersion
	rows    []messenger.RegisteredInstance
}

// Register replaces the row of an instance.
func (r *sharedRegistry) Register(_ context.Context, l messenger.ListedInstance) (identifier.Position, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.rows = slices.DeleteFunc(r.rows, func(old messenger.RegisteredInstance) bool { return old.Name == l.Name })
	r.rows = slices.Insert(r.rows, 0, messenger.RegisteredInstance{
		ListedInstance: l,
		Row:            r.version,
	})
	return identifier.Position{
		Era:     1,
		Version: r.version,
	}, nil
}

// Remove removes rows whose versions are as they were read.
func (r *sharedRegistry) Remove(_ context.Context, era identifier.Era, gone []messenger.RegisteredInstance) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range gone {
		if era != 1 || !slices.ContainsFunc(r.rows, func(l messenger.RegisteredInstance) bool { return l.Name == g.Name && l.Row == g.Row }) {
			return errors.New("a row was written again")
		}
	}
	r.rows = slices.DeleteFunc(r.rows, func(l messenger.RegisteredInstance) bool { return slices.Contains(namesOf(gone), l.Name) })
	return nil
}

func namesOf(instances []messenger.RegisteredInstance) []string {
	var names []string
	for _, l := range instances {
		names = append(names, l.Name)
	}
	return names
}

// List returns the rows, the latest first.
func (r *sharedRegistry) List(context.Context) ([]messenger.RegisteredInstance, identifier.Era, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.rows), 1, nil
}

// addGone adds rows of instances that are gone. Their addresses accept connections and answer
// nothing, like those of a machine without power, or refuse them.
func (r *sharedRegistry) addGone(t testing.TB, n int) {
	t.Helper()
	const listeners = 64
	var addresses []string
	for range min(n, listeners) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		addresses = append(addresses, l.Addr().String())
	}
	for i := range n {
		address := fmt.Sprintf("127.0.0.1:%d", 1+i%1000)
		if i >= n-listeners {
			address = addresses[i%len(addresses)]
		}
		_, _ = r.Register(context.Background(), messenger.ListedInstance{
			Name:        fmt.Sprintf("gone-%d", i),
			Role:        messenger.RouterRole,
			Address:     address,
			Incarnation: 1,
		})
	}
}

// freeAddress returns an address at which nobody listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startRegistered starts n instances that find each other in a registry only.
func startRegistered(t testing.TB, r *sharedRegistry, n int) []*instance {
	t.Helper()
	var out []*instance
	for k := range n {
		address := freeAddress(t)
		i := startNamed(t, identifier.Instance(fmt.Sprintf("alive-%d", k)), address, func(c *controller.Controller) {
			c.Settings.Peer.Interval = identifier.DurationOf(500 * time.Millisecond)
			c.Settings.Peer.Term = identifier.DurationOf(6 * time.Second)
			c.Settings.Platform.ListInterval = identifier.DurationOf(10 * time.Second)
			c.Source.Registry = r
			listenAt(t, c, address)
		})
		i.sites.changes <- configurationAt(1)
		i.endpoints.changes <- fullList(endpoint("a", false))
		out = append(out, i)
	}
	return out
}

// awaitAll waits until each instance takes exactly the n that run for living.
func awaitAll(t testing.TB, instances []*instance) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		missing := slices.IndexFunc(instances, func(i *instance) bool { return len(i.publisher.View().Live) != len(instances) })
		if missing < 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("instance %d takes %v for living, want the %d that run", missing, instances[missing].publisher.View().Live, len(instances))
		}
	}
}

// TestRowsOfGoneInstancesCount guards against instances that are gone and count as living after a
// start: as owners, in the shares of limits, as readers of the store.
func TestRowsOfGoneInstancesCount(t *testing.T) {
	r := &sharedRegistry{}
	r.addGone(t, 100)
	instances := startRegistered(t, r, 5)
	awaitAll(t, instances)
	for _, i := range instances {
		v := i.publisher.View()
		if got, want := v.Instances(), len(instances); got != want {
			t.Errorf("instances that count: got %d, want %d", got, want)
		}
		if got, want := len(v.Peers), len(instances)-1; got != want {
			t.Errorf("peers: got %d, want %d", got, want)
		}
	}
}

// TestInstanceStartsBesideGoneRows guards against an instance that believes to be alone when it
// starts, because the rows of those that run are older than many of those that are gone.
func TestInstanceStartsBesideGoneRows(t *testing.T) {
	r := &sharedRegistry{}
	running := startRegistered(t, r, 2)
	awaitAll(t, running)
	r.addGone(t, 60)
	address := freeAddress(t)
	late := startNamed(t, "late", address, func(c *controller.Controller) {
		c.Source.Registry = r
		listenAt(t, c, address)
	})
	late.sites.changes <- configurationAt(1)
	late.endpoints.changes <- fullList(endpoint("a", false))
	awaitAll(t, append(running, late))
}

// BenchmarkDiscovery starts nine instances at once beside rows of ones that are gone, and reports
// how long they take to know each other.
func BenchmarkDiscovery(b *testing.B) {
	for _, gone := range []int{0, 40, 400, 4000} {
		b.Run(fmt.Sprint(gone), func(b *testing.B) {
			for range b.N {
				r := &sharedRegistry{}
				r.addGone(b, gone)
				begun := time.Now()
				awaitAll(b, startRegistered(b, r, 9))
				b.ReportMetric(float64(time.Since(begun).Milliseconds()), "ms/start")
			}
		})
	}
}

// TestRowOfLaterIncarnation guards against an instance that enters itself with a lower incarnation
// than its row has, because its clock was set back, and is ignored by the others.
func TestRowOfLaterIncarnation(t *testing.T) {
	r := &sharedRegistry{}
	earlier := uint64(time.Now().Add(time.Hour).UnixNano())
	_, _ = r.Register(t.Context(), messenger.ListedInstance{
		Name:        "alive-0",
		Address:     "127.0.0.1:1",
		Incarnation: earlier,
	})
	awaitAll(t, startRegistered(t, r, 2))
	rows, _, _ := r.List(t.Context())
	for _, l := range rows {
		if l.Name == "alive-0" && l.Incarnation <= earlier {
			t.Errorf("incarnation of the row: got %d, want more than %d", l.Incarnation, earlier)
		}
	}
}
