package cataloguer

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// Endpoint is one back end as the platform's list describes it.
type Endpoint struct {
	identifier.EndpointIncarnation
	Service    identifier.Service
	Address    string
	DataCentre identifier.DataCentre
	// Leaving endpoints get no new work.
	Leaving bool
	// Slots is how many requests it processes at once.
	Slots       int
	Accelerator Accelerator
	// From and To are the range [From, To) of the layers that it holds; it holds
	// none if they are equal.
	From identifier.Layer
	To   identifier.Layer
	// Version is the version of its model weights.
	Version identifier.Version
}

// Departure is the knowledge that an endpoint is not in the platform's list any more.
type Departure struct {
	identifier.EndpointIncarnation
	// At is the position of a list without the endpoint. A list from an earlier position
	// may still have it; one from a later position that has it again is right.
	At identifier.Position
	// LearnedAt is when this instance, or the one that it heard it from, learned of it.
	LearnedAt time.Time
}

// HoldsLayers reports whether the endpoint holds any layers.
func (e *Endpoint) HoldsLayers() bool {
	return e.To > e.From
}
