package controller_test

import (
	"slices"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/loader"
	"heatherhold.dev/router/publisher"
)

// startUnlisted starts an instance of a platform with a store, without a list of endpoints.
func startUnlisted(t *testing.T, name identifier.Instance) *instance {
	t.Helper()
	address := freeAddress(t)
	i := startSettings(t, name, address, func(s *loader.Settings) { s.Store = &loader.Store{} }, func(c *controller.Controller) {
		listenAt(t, c, address)
	})
	i.sites.changes <- configurationAt(1)
	return i
}

// mayOwn reports whether a view has an instance as a candidate for owner.
func mayOwn(v *publisher.View, name identifier.Instance) bool {
	return slices.Contains(v.Eligible, name)
}

// TestInstanceWithoutListOwnsPool guards against an instance that owns a pool before it has a list of
// endpoints, and against others that go on leaving it out after it has got one.
func TestInstanceWithoutListOwnsPool(t *testing.T) {
	informed, starting := startUnlisted(t, "a"), startUnlisted(t, "b")
	informed.endpoints.changes <- at(10, fullList(endpoint("a", false)))
	informed.waitFor(t, "itself as owner", func(v *publisher.View) bool { return mayOwn(v, "a") && v.EndpointCount() == 1 })
	exchangeWith(t, starting, informed)
	for _, i := range []*instance{informed, starting} {
		i.waitFor(t, "the informed instance as owner only", func(v *publisher.View) bool {
			return len(v.Live) == 2 && mayOwn(v, "a") && !mayOwn(v, "b")
		})
	}
	starting.endpoints.changes <- at(10, fullList(endpoint("a", false)))
	for _, i := range []*instance{informed, starting} {
		i.waitFor(t, "both as owners", func(v *publisher.View) bool { return mayOwn(v, "a") && mayOwn(v, "b") })
	}
}

// TestAllInstancesUnlisted guards against pools without an owner after the loss of all instances.
func TestAllInstancesUnlisted(t *testing.T) {
	i := startUnlisted(t, "a")
	i.waitFor(t, "itself as owner", func(v *publisher.View) bool { return mayOwn(v, "a") })
}

// TestOldListConfirmsConfiguration guards against an instance that decides on a configuration for
// longer because it got an old list, and against a list that brings back what is known to have left.
func TestOldListConfirmsConfiguration(t *testing.T) {
	i := startUnlisted(t, "a")
	i.waitFor(t, "a configuration", func(v *publisher.View) bool { return v.Revision == 1 })
	before := i.publisher.ConfirmedUntil()
	i.tell(t, 20)
	i.endpoints.down <- struct{}{}
	old := at(15, fullList(endpoint("a", false), endpoint("b", false)))
	old.FailedAt = time.Now()
	i.endpoints.changes <- old
	i.waitFor(t, "only endpoint b", func(v *publisher.View) bool { return availableEndpoints(v) == "b " })
	if got := i.publisher.ConfirmedUntil(); got != before {
		t.Errorf("confirmed until: got %v, want %v as before the list", got, before)
	}
	if got, want := i.publisher.List(), (identifier.Position{Era: 1, Version: 15}); got != want {
		t.Errorf("position: got %v, want %v", got, want)
	}
	// The store is back: what is missing from its list now may be missing because of the outage.
	i.endpoints.changes <- at(30, cataloguer.Change[cataloguer.Endpoint]{Removed: []string{"b"}})
	time.Sleep(updateTimeout / 5)
	if got, want := availableEndpoints(i.publisher.View()), "b "; got != want {
		t.Errorf("endpoints just after the outage: got %q, want %q", got, want)
	}
}
