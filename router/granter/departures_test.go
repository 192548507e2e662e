package granter_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/granter"
)

// TestOwnerDoesNotLearnOfDeparture guards against an owner that grants an endpoint once more after
// an entry has told it that the endpoint has left, and against grants that don't say on which
// list they were decided.
func TestOwnerDoesNotLearnOfDeparture(t *testing.T) {
	o := newOwner(t)
	o.configure(6, urgent)
	list := identifier.Position{
		Era:     2,
		Version: 40,
	}
	o.publisher.SetList(list)
	learned := make(chan cataloguer.Departure, 1)
	o.granter.LearnDepartures = func(from identifier.Instance, departures []cataloguer.Departure) {
		if from == "i7" && len(departures) == 1 {
			learned <- departures[0]
		}
	}
	stream, err := o.granter.Open(t.Context(), granter.Key{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	m := &messenger.ToOwner{
		Instance: "i7",
		Asks: []*messenger.Ask{{
			Request:      "r1.1",
			Rank:         urgent,
			Weight:       1,
			OutputTokens: 10,
		}},
	}
	m.AddDepartures(time.Now(), []cataloguer.Departure{{
		EndpointIncarnation: identifier.EndpointIncarnation{Endpoint: "gone"},
		At:                  list,
		LearnedAt:           time.Now(),
	}})
	stream.Send(m)
	select {
	case d := <-learned:
		if d.Endpoint != "gone" || d.At != list {
			t.Errorf("departure: got %v, want that of the entry's message", d)
		}
	case <-time.After(timeout):
		t.Fatal("the owner did not learn of the departure")
	}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, m := range stream.Receive() {
			if len(m.GetGrants()) == 0 {
				continue
			}
			if got := m.GetList().Position(); got != list {
				t.Errorf("position of the list behind the grant: got %v, want %v", got, list)
			}
			return
		}
	}
	t.Fatal("got no grant")
}
