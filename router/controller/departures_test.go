package controller_test

import (
	"slices"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/publisher"
)

// at gives a change a position in the history of the store.
func at(version identifier.RowVersion, c cataloguer.Change[cataloguer.Endpoint]) cataloguer.Change[cataloguer.Endpoint] {
	c.Position = identifier.Position{
		Era:     1,
		Version: version,
	}
	return c
}

// listAB starts an instance with endpoints a and b at version 10.
func listAB(t *testing.T) *instance {
	t.Helper()
	i := start(t)
	i.sites.changes <- configurationAt(1)
	i.endpoints.changes <- at(10, fullList(endpoint("a", false), endpoint("b", false)))
	i.waitFor(t, "both endpoints", func(v *publisher.View) bool { return availableEndpoints(v) == "a b " })
	return i
}

// tell tells the instance that endpoint a is not in the list at a version.
func (i *instance) tell(t *testing.T, version identifier.RowVersion) {
	t.Helper()
	departed := cataloguer.Departure{
		EndpointIncarnation: endpoint("a", false).EndpointIncarnation,
		At: identifier.Position{
			Era:     1,
			Version: version,
		},
		LearnedAt: time.Now(),
	}
	err := i.controller.Loop.Do(t.Context(), func() {
		i.controller.LearnDepartures("i2", []cataloguer.Departure{departed})
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestDepartureKnownElsewhereIgnored guards against an instance that goes on using an endpoint
// which others with a newer list know to have left, after it was away itself.
func TestDepartureKnownElsewhereIgnored(t *testing.T) {
	i := listAB(t)
	i.tell(t, 20)
	i.waitFor(t, "only endpoint b", func(v *publisher.View) bool { return availableEndpoints(v) == "b " })
	if at, ok := i.publisher.View().Departed(endpoint("a", false).EndpointIncarnation); !ok || at.Version != 20 {
		t.Errorf("departure: got version %d (known: %v), want 20", at.Version, ok)
	}
	// A list that was read before the endpoint left does not bring it back, a later one does.
	i.endpoints.changes <- at(15, cataloguer.Change[cataloguer.Endpoint]{Set: map[string]cataloguer.Endpoint{"a": endpoint("a", false)}})
	time.Sleep(updateTimeout / 5)
	if got, want := availableEndpoints(i.publisher.View()), "b "; got != want {
		t.Errorf("endpoints of an older list: got %q, want %q", got, want)
	}
	i.endpoints.changes <- at(30, cataloguer.Change[cataloguer.Endpoint]{Set: map[string]cataloguer.Endpoint{"a": endpoint("a", false)}})
	i.waitFor(t, "both endpoints", func(v *publisher.View) bool { return availableEndpoints(v) == "a b " })
	if _, ok := i.publisher.View().Departed(endpoint("a", false).EndpointIncarnation); ok {
		t.Error("the endpoint is still known to have left, want it forgotten")
	}
}

// TestOldDepartureOfListedEndpointBelieved guards against losing an endpoint that is listed again,
// through news of its absence that is older than the list.
func TestOldDepartureOfListedEndpointBelieved(t *testing.T) {
	i := listAB(t)
	for _, version := range []identifier.RowVersion{5, 10} {
		i.tell(t, version)
	}
	if got, want := availableEndpoints(i.publisher.View()), "a b "; got != want {
		t.Errorf("endpoints: got %q, want %q", got, want)
	}
}

// TestOwnAbsenceTakenForOutage guards against an instance that was away, and so could not ask the
// store, keeping endpoints that others know to have left, as if the store had been away.
func TestOwnAbsenceTakenForOutage(t *testing.T) {
	i := listAB(t)
	i.endpoints.down <- struct{}{}
	time.Sleep(2 * time.Millisecond)
	i.endpoints.changes <- at(30, fullList(endpoint("b", false)))
	i.waitFor(t, "the old position while an endpoint is retained", func(*publisher.View) bool { return i.publisher.List().Version == 10 })
	if got, want := availableEndpoints(i.publisher.View()), "a b "; got != want {
		t.Fatalf("endpoints before the others told: got %q, want %q", got, want)
	}
	told := time.Now()
	i.tell(t, 20)
	i.waitFor(t, "only endpoint b", func(v *publisher.View) bool { return availableEndpoints(v) == "b " })
	if got, most := time.Since(told), retainAfterOutage/2; got > most {
		t.Errorf("the endpoint was dropped after %v, want at most %v", got, most)
	}
	i.waitFor(t, "the new position", func(*publisher.View) bool { return i.publisher.List().Version == 30 })
}

// TestLapsedEntryCountsAsDeparture guards against telling other instances of a departure that
// is not certain: the entry did not come back after an outage.
func TestLapsedEntryCountsAsDeparture(t *testing.T) {
	i := listAB(t)
	i.endpoints.down <- struct{}{}
	time.Sleep(2 * time.Millisecond)
	i.endpoints.changes <- at(20, fullList(endpoint("b", false)))
	time.Sleep(2 * retainAfterOutage)
	i.endpoints.changes <- at(30, cataloguer.Change[cataloguer.Endpoint]{Removed: []string{"b"}})
	i.waitFor(t, "no endpoint", func(v *publisher.View) bool { return availableEndpoints(v) == "" })
	for _, d := range i.publisher.View().Departures {
		if d.Endpoint == "a" {
			t.Errorf("got departure %v, want none of an entry that lapsed", d)
		}
	}
}

// TestDeparturesWithoutBound guards against memory that grows with all that another instance
// tells.
func TestDeparturesWithoutBound(t *testing.T) {
	i := listAB(t)
	var many []cataloguer.Departure
	for n := range 10_000 {
		many = append(many, cataloguer.Departure{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    "x",
				Incarnation: identifier.Incarnation(n),
			},
			At:        identifier.Position{Version: 5},
			LearnedAt: time.Now(),
		})
	}
	err := i.controller.Loop.Do(t.Context(), func() { i.controller.LearnDepartures("i2", many) })
	if err != nil {
		t.Fatal(err)
	}
	departures := i.publisher.View().Departures
	if got, most := len(departures), 4096; got > most {
		t.Errorf("departures that are kept: got %d, want at most %d", got, most)
	}
	if !slices.ContainsFunc(departures, func(d cataloguer.Departure) bool { return d.Incarnation == 9_999 }) {
		t.Error("the latest departure is not kept")
	}
}

// TestOwnAbsenceTakenForOutageByReturningInstance guards against an instance that was away and keeps
// endpoints that left meanwhile, as if the store had been away: what the others know reaches it
// with the first exchange, whoever begins it.
func TestOwnAbsenceTakenForOutageByReturningInstance(t *testing.T) {
	for name, exchange := range map[string]func(t *testing.T, away, present *instance){
		"begun by the returning one": func(t *testing.T, away, present *instance) { exchangeWith(t, away, present) },
		"begun by another":           func(t *testing.T, away, present *instance) { exchangeWith(t, present, away) },
	} {
		t.Run(name, func(t *testing.T) {
			away, present := listAB(t), listAB(t)
			present.endpoints.changes <- at(20, cataloguer.Change[cataloguer.Endpoint]{Removed: []string{"a"}})
			present.waitFor(t, "only endpoint b", func(v *publisher.View) bool { return availableEndpoints(v) == "b " })
			away.endpoints.down <- struct{}{}
			time.Sleep(2 * time.Millisecond)
			away.endpoints.changes <- at(30, fullList(endpoint("b", false)))
			away.waitFor(t, "a list with a retained endpoint", func(*publisher.View) bool { return away.publisher.List().Version == 10 })
			returned := time.Now()
			exchange(t, away, present)
			away.waitFor(t, "only endpoint b", func(v *publisher.View) bool { return availableEndpoints(v) == "b " })
			if got, most := time.Since(returned), retainAfterOutage/2; got > most {
				t.Errorf("the endpoint was dropped after %v, want at most %v", got, most)
			}
		})
	}
}

// exchangeWith lets one instance exchange with another.
func exchangeWith(t *testing.T, from, to *instance) {
	t.Helper()
	if _, err := from.controller.Exchange(t.Context(), &messenger.Member{Address: listen(t, to.controller)}); err != nil {
		t.Fatal(err)
	}
}
