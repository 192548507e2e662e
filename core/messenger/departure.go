package messenger

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
)

// maxDepartures is how many departures one message names at most, and maxDepartureAge the
// greatest age that one may state.
const (
	maxDepartures   = 256
	maxDepartureAge = time.Hour
)

// PositionOf returns the message of a position; nil if the position is not known.
func PositionOf(p identifier.Position) *ListPosition {
	if p == (identifier.Position{}) {
		return nil
	}
	return &ListPosition{
		Era:     uint64(p.Era),
		Version: uint64(p.Version),
	}
}

// Position returns the position that a message states; zero if it states none.
func (p *ListPosition) Position() identifier.Position {
	return identifier.Position{
		Era:     identifier.Era(p.GetEra()),
		Version: identifier.RowVersion(p.GetVersion()),
	}
}

// AddDepartures adds departures to the message, with their ages at now, unless it names them
// already or holds maxDepartures.
func (m *ToOwner) AddDepartures(now time.Time, departures []cataloguer.Departure) {
	for _, d := range departures {
		named := slices.ContainsFunc(m.Departures, func(other *Departure) bool {
			return other.GetEndpoint().GetEndpoint() == string(d.Endpoint) && other.GetEndpoint().GetIncarnation() == uint64(d.Incarnation)
		})
		if !named && len(m.Departures) < maxDepartures {
			m.Departures = append(m.Departures, departureOf(now, d))
		}
	}
}

// DeparturesOf returns the messages of the departures that were learned of since a time, at
// most maxDepartures, with their ages at now. The departures are sorted, the latest first.
func DeparturesOf(now, since time.Time, departures []cataloguer.Departure) []*Departure {
	var out []*Departure
	for _, d := range departures {
		if d.LearnedAt.Before(since) || len(out) == maxDepartures {
			break
		}
		out = append(out, departureOf(now, d))
	}
	return out
}

func departureOf(now time.Time, d cataloguer.Departure) *Departure {
	return &Departure{
		Endpoint: &Mark{
			Endpoint:    string(d.Endpoint),
			Incarnation: uint64(d.Incarnation),
		},
		Position: PositionOf(d.At),
		AgeMs:    max(now.Sub(d.LearnedAt).Milliseconds(), 0),
	}
}

// ReadDepartures returns the departures that an instance's message, received at now, names.
// It returns an error if one of them cannot be right.
func ReadDepartures(now time.Time, in []*Departure) ([]cataloguer.Departure, error) {
	if len(in) > maxDepartures {
		return nil, errors.Errorf("%d departures in a message, want at most %d", len(in), maxDepartures)
	}
	out := make([]cataloguer.Departure, 0, len(in))
	for _, d := range in {
		if d.GetEndpoint().GetEndpoint() == "" || d.GetPosition() == nil {
			return nil, errors.New("a departure without an endpoint or a position")
		}
		if d.GetAgeMs() < 0 || d.GetAgeMs() > maxDepartureAge.Milliseconds() {
			return nil, errors.Errorf("a departure %d ms ago, want 0 to %d", d.GetAgeMs(), maxDepartureAge.Milliseconds())
		}
		out = append(out, cataloguer.Departure{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    identifier.Endpoint(d.GetEndpoint().GetEndpoint()),
				Incarnation: identifier.Incarnation(d.GetEndpoint().GetIncarnation()),
			},
			At:        d.GetPosition().Position(),
			LearnedAt: now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond),
		})
	}
	return out, nil
}
