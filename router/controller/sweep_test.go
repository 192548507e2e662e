package controller_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/controller"
)

const (
	sweepListInterval = 100 * time.Millisecond
	sweepAfter        = 300 * time.Millisecond
)

// sweepSoon makes an instance read the registry often and sweep soon.
func sweepSoon(c *controller.Controller, r *sharedRegistry) {
	c.Source.Registry = r
	c.Source.SweepAfter = sweepAfter
	c.Settings.Platform.ListInterval = identifier.DurationOf(sweepListInterval)
	c.Settings.Peer.Term = identifier.DurationOf(400 * time.Millisecond)
	c.Settings.Peer.Interval = identifier.DurationOf(50 * time.Millisecond)
}

// startSweeping starts an instance that sweeps soon.
func startSweeping(t *testing.T, r *sharedRegistry, name identifier.Instance) *instance {
	t.Helper()
	address := freeAddress(t)
	i := startNamed(t, name, address, func(c *controller.Controller) {
		sweepSoon(c, r)
		listenAt(t, c, address)
	})
	i.sites.changes <- configurationAt(1)
	i.endpoints.changes <- fullList(endpoint("a", false))
	return i
}

// names returns the names in the registry, sorted.
func (r *sharedRegistry) names() []string {
	rows, _, _ := r.List(context.Background())
	names := namesOf(rows)
	slices.Sort(names)
	return names
}

// await waits until the registry has exactly the given names.
func (r *sharedRegistry) await(t *testing.T, want ...string) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !slices.Equal(r.names(), want); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("rows in the registry: got %v, want %v", r.names(), want)
		}
	}
}

// TestRowsOfGoneInstancesKept guards against a registry that grows with each instance that ever ran.
func TestRowsOfGoneInstancesKept(t *testing.T) {
	r := &sharedRegistry{}
	r.addGone(t, 50)
	var instances []*instance
	for _, name := range []identifier.Instance{"a", "b", "c"} {
		instances = append(instances, startSweeping(t, r, name))
	}
	awaitAll(t, instances)
	r.await(t, "a", "b", "c")
	// Those that run keep their rows.
	time.Sleep(2 * sweepAfter)
	r.await(t, "a", "b", "c")
}

// TestRowRemovedByMistakeStaysAway guards against an instance that stays out of the registry after
// its row was removed because nobody could reach it.
func TestRowRemovedByMistakeStaysAway(t *testing.T) {
	r := &sharedRegistry{}
	startSweeping(t, r, "a")
	startSweeping(t, r, "b")
	r.await(t, "a", "b")
	// This one hears nobody either: its peers' answers are lost.
	startNamed(t, "cut", freeAddress(t), func(c *controller.Controller) {
		sweepSoon(c, r)
		c.Source.Registry = &blindRegistry{sharedRegistry: r}
	})
	for range 2 {
		r.await(t, "a", "b", "cut")
		r.await(t, "a", "b")
	}
}

// blindRegistry is a registry in which an instance sees its own row only.
type blindRegistry struct {
	*sharedRegistry
}

// List returns the row of the instance "cut".
func (r *blindRegistry) List(ctx context.Context) ([]messenger.RegisteredInstance, identifier.Era, error) {
	rows, era, err := r.sharedRegistry.List(ctx)
	rows = slices.DeleteFunc(rows, func(l messenger.RegisteredInstance) bool { return l.Name != "cut" })
	return rows, era, err
}

// TestRowLeftAfterPlannedStop guards against an instance that leaves its row behind at a planned
// stop, and against one that removes the row of its successor of the same name.
func TestRowLeftAfterPlannedStop(t *testing.T) {
	for name, rewritten := range map[string]bool{"": false, ", written again": true} {
		t.Run("stop"+name, func(t *testing.T) {
			r := &sharedRegistry{}
			i := startSweeping(t, r, "a")
			r.await(t, "a")
			if err := i.controller.Leave(t.Context()); err != nil {
				t.Fatal(err)
			}
			if rewritten {
				if _, err := r.Register(t.Context(), messenger.ListedInstance{Name: "a"}); err != nil {
					t.Fatal(err)
				}
			}
			if err := i.controller.Withdraw(t.Context()); (err != nil) != rewritten {
				t.Errorf("got error %v, want one only if the row was written again", err)
			}
			if got := len(r.names()); (got == 1) != rewritten {
				t.Errorf("rows in the registry: got %d (written again: %v)", got, rewritten)
			}
		})
	}
}
