package granter_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/scheduler"
)

// listAt returns the position of a list in era 1.
func listAt(version identifier.RowVersion) identifier.Position {
	return identifier.Position{
		Era:     1,
		Version: version,
	}
}

// newRestartedOwner returns an owner that has a configuration and no list of endpoints.
func newRestartedOwner(t *testing.T) *owner {
	t.Helper()
	o := newOwnerOf(t, func(v *publisher.View, k granter.Key) []scheduler.Report {
		if len(v.Fleet[k.Service]) == 0 {
			return nil
		}
		return []scheduler.Report{endpoint()}
	})
	o.configure(7, urgent)
	return o
}

// learnList gives the owner a list with an endpoint that holds the whole model.
func (o *owner) learnList(at identifier.Position) {
	v := o.publisher.View()
	o.publisher.Publish(&publisher.View{
		Revision:    v.Revision,
		Declaration: v.Declaration,
		Fleet:       map[identifier.Service][]cataloguer.Endpoint{service: {{Service: service}}},
	})
	o.publisher.SetList(at)
}

// answers are what an owner has sent on one stream.
type answers struct {
	grants   int
	refusals []*messenger.Refusal
	unknown  map[string]int
}

// collect takes in the owner's messages until done returns true or the time is over.
func collect(stream *granter.LocalStream, limit time.Duration, done func(*answers) bool) *answers {
	got := &answers{unknown: make(map[string]int)}
	deadline := time.After(limit)
	for !done(got) {
		select {
		case <-stream.Ready():
		case <-deadline:
			return got
		}
		for _, m := range stream.Receive() {
			got.grants += len(m.GetGrants())
			got.refusals = append(got.refusals, m.GetRefusals()...)
			for _, r := range m.GetUnknown() {
				got.unknown[r]++
			}
		}
	}
	return got
}

// askOnList asks for n tickets as an entry does whose list is at a position.
func (o *owner) askOnList(t *testing.T, n int, list identifier.Position) *granter.LocalStream {
	t.Helper()
	stream, err := o.granter.Open(t.Context(), granter.Key{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	m := &messenger.ToOwner{
		Instance: "entry",
		Pool:     string(service),
		List:     messenger.PositionOf(list),
	}
	for range n {
		m.Asks = append(m.Asks, &messenger.Ask{
			Request:      fmt.Sprintf("%s-%d", t.Name(), o.requestCount.Add(1)),
			Customer:     "council",
			Rank:         urgent,
			Weight:       1,
			PromptTokens: 10,
			OutputTokens: 10,
		})
	}
	stream.Send(m)
	return stream
}

const (
	// longestWait is the longest wait of the rank that configure declares, and some more.
	longestWait = 1300 * time.Millisecond
	// atOnce bounds an answer that needs no waiting.
	atOnce = 200 * time.Millisecond
)

// TestOwnerWithoutListRefuses guards against an owner that restarted while the store was
// unavailable, has no list of endpoints and refuses the requests of entries that have one.
func TestOwnerWithoutListRefuses(t *testing.T) {
	o := newRestartedOwner(t)
	var counted atomic.Int64
	o.granter.OnUnknown = func(_ identifier.Service, n int) { counted.Add(int64(n)) }
	stream := o.askOnList(t, askCount, listAt(20))
	got := collect(stream, atOnce, func(a *answers) bool { return len(a.unknown) == askCount })
	if got, want := len(got.unknown), askCount; got != want {
		t.Errorf("requests answered as unknown within %v: got %d, want %d", atOnce, got, want)
	}
	got = collect(stream, longestWait, func(a *answers) bool { return len(a.refusals) > 0 })
	for _, r := range got.refusals {
		t.Errorf("got a refusal of kind %s (%s), want none", r.GetKind(), r.GetDetail())
	}
	if got, want := counted.Load(), int64(askCount); got < want {
		t.Errorf("unknown answers counted: got %d, want at least %d", got, want)
	}
}

// TestOwnerWithOlderListRefuses guards against an owner that refuses requests for want of
// endpoints that the entry's newer list may have.
func TestOwnerWithOlderListRefuses(t *testing.T) {
	o := newRestartedOwner(t)
	o.publisher.SetList(listAt(10))
	got := collect(o.askOnList(t, 1, listAt(20)), atOnce, func(a *answers) bool { return len(a.unknown) > 0 })
	if len(got.unknown) != 1 || len(got.refusals) > 0 {
		t.Errorf("newer list at the entry: got %d unknown and %d refusals, want 1 and 0", len(got.unknown), len(got.refusals))
	}
}

// TestOwnerWithNewerListDecides guards against an owner that leaves the decision to an entry which
// knows no more than itself.
func TestOwnerWithNewerListDecides(t *testing.T) {
	for _, version := range []identifier.RowVersion{10, 5} {
		o := newRestartedOwner(t)
		o.publisher.SetList(listAt(10))
		got := collect(o.askOnList(t, 1, listAt(version)), longestWait, func(a *answers) bool { return len(a.refusals) > 0 })
		if len(got.unknown) != 0 || len(got.refusals) != 1 {
			t.Errorf("entry at version %d: got %d unknown and %d refusals, want 0 and 1", version, len(got.unknown), len(got.refusals))
		}
	}
}

// TestRequestOfOlderEntryLost guards against an entry of an older build, which states no list and
// does not read unknown, that never gets an answer.
func TestRequestOfOlderEntryLost(t *testing.T) {
	t.Run("list comes", func(t *testing.T) {
		o := newRestartedOwner(t)
		stream := o.askOnList(t, askCount, identifier.Position{})
		time.Sleep(atOnce)
		o.learnList(listAt(20))
		checkGranted(t, stream)
	})
	t.Run("no list comes", func(t *testing.T) {
		o := newRestartedOwner(t)
		got := collect(o.askOnList(t, 1, identifier.Position{}), longestWait, func(a *answers) bool { return len(a.refusals) > 0 })
		if got, want := len(got.refusals), 1; got != want {
			t.Errorf("refusals: got %d, want %d", got, want)
		}
	})
}

// TestRequestsWaitForOwnersList guards against requests that stay without an answer after the owner
// has got its list: an entry without a list of its own waits for it.
func TestRequestsWaitForOwnersList(t *testing.T) {
	o := newRestartedOwner(t)
	stream := o.askOnList(t, askCount, listAt(20))
	time.Sleep(atOnce)
	o.learnList(listAt(20))
	checkGranted(t, stream)
}

// TestCoversEveryLayer checks on which lists an entry schedules alone.
func TestCoversEveryLayer(t *testing.T) {
	o := newRestartedOwner(t)
	if o.granter.Covers(service) {
		t.Error("without a list: got every layer covered, want not")
	}
	o.learnList(listAt(1))
	if !o.granter.Covers(service) {
		t.Error("with an endpoint that holds every layer: got not covered, want covered")
	}
}

// TestTwoOwnersOnOwnLists guards against an owner that leaves decisions to entries because another
// owner, or an entry, has a newer list: as long as it finds chains, it grants, and says on which list.
func TestTwoOwnersOnOwnLists(t *testing.T) {
	for _, version := range []identifier.RowVersion{10, 20} {
		o := newRestartedOwner(t)
		o.learnList(listAt(version))
		stream := o.askOnList(t, 1, listAt(20))
		var got identifier.Position
		for deadline := time.Now().Add(timeout); got == (identifier.Position{}) && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			for _, m := range stream.Receive() {
				if len(m.GetUnknown()) > 0 {
					t.Errorf("owner at version %d: got an unknown answer, want a grant", version)
				}
				if len(m.GetGrants()) > 0 {
					got = m.GetList().Position()
				}
			}
		}
		if want := listAt(version); got != want {
			t.Errorf("position of the list behind the grant: got %v, want %v", got, want)
		}
	}
}
