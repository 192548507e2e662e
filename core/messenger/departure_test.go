package messenger_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
)

func departure(n int, learnedAt time.Time) cataloguer.Departure {
	return cataloguer.Departure{
		EndpointIncarnation: identifier.EndpointIncarnation{
			Endpoint:    "e",
			Incarnation: identifier.Incarnation(n),
		},
		At: identifier.Position{
			Era:     1,
			Version: 7,
		},
		LearnedAt: learnedAt,
	}
}

// TestDeparturesChangedInTransit guards against departures that arrive with another position or
// time, more than once, or in numbers that the receiver sets aside.
func TestDeparturesChangedInTransit(t *testing.T) {
	now := time.Unix(1_000, 0)
	m := &messenger.ToOwner{}
	for n := range 1_000 {
		m.AddDepartures(now, []cataloguer.Departure{departure(n, now.Add(-time.Second)), departure(0, now)})
	}
	received := now.Add(time.Minute)
	got, err := messenger.ReadDepartures(received, m.GetDepartures())
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != 256 {
		t.Errorf("departures: got %d, want 256", len(got))
	}
	for n, d := range got {
		if want := departure(n, received.Add(-time.Second)); d != want {
			t.Fatalf("departure: got %v, want %v", d, want)
		}
	}
}

// TestImpossibleDepartureBelieved guards against departures in a message that no instance sends.
func TestImpossibleDepartureBelieved(t *testing.T) {
	mark := &messenger.Mark{Endpoint: "e"}
	at := &messenger.ListPosition{Version: 1}
	tests := map[string][]*messenger.Departure{
		"no endpoint":    {{Position: at}},
		"empty endpoint": {{Endpoint: &messenger.Mark{}, Position: at}},
		"no position":    {{Endpoint: mark}},
		"in the future":  {{Endpoint: mark, Position: at, AgeMs: -1}},
		"too long ago":   {{Endpoint: mark, Position: at, AgeMs: 1 << 40}},
		"far too many":   make([]*messenger.Departure, 10_000),
	}
	for name, in := range tests {
		if got, err := messenger.ReadDepartures(time.Now(), in); err == nil {
			t.Errorf("%s: got %v, want an error", name, got)
		}
	}
}
