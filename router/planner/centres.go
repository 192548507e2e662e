package planner

import (
	"slices"

	"heatherhold.dev/core/identifier"
)

// centres numbers the data centres of one search and keeps what it costs to cross
// from one to another, so that each pair is calculated once.
type centres struct {
	names []identifier.DataCentre
	// entry is the cost from the entry's data centre to another, by number.
	entry []float64
	// crossing is the cost between two data centres: the row of the first, the column
	// of the second.
	crossing []float64
}

// newCentres returns the data centres of runners.
func newCentres(runners []Runner, links Links, need *Need) *centres {
	c := &centres{}
	for i := range runners {
		if !slices.Contains(c.names, runners[i].DataCentre) {
			c.names = append(c.names, runners[i].DataCentre)
		}
	}
	c.entry = make([]float64, 0, len(c.names))
	c.crossing = make([]float64, 0, len(c.names)*len(c.names))
	for _, from := range c.names {
		c.entry = append(c.entry, hopCost(links, need.Entry, from, need))
		for _, to := range c.names {
			c.crossing = append(c.crossing, hopCost(links, from, to, need)+transferCost(links, from, to, need))
		}
	}
	return c
}

// index returns the number of a data centre.
func (c *centres) index(name identifier.DataCentre) int {
	return slices.Index(c.names, name)
}

// entryCost returns the cost of the hop from the entry to a data centre.
func (c *centres) entryCost(to int) float64 {
	return c.entry[to]
}

// crossingCost returns the cost of going on in another data centre.
func (c *centres) crossingCost(from, to int) float64 {
	return c.crossing[from*len(c.names)+to]
}

// hopCost returns the time that the request's output tokens spend on one link.
func hopCost(links Links, from, to identifier.DataCentre, need *Need) float64 {
	return float64(links.Delay(from, to)) * float64(need.Output)
}

// transferCost returns the cost of transferring the request's prompt between two
// stages. It is 0 within a data centre, or if links does not implement TransferTimer.
func transferCost(links Links, from, to identifier.DataCentre, need *Need) float64 {
	times, ok := links.(TransferTimer)
	if !ok || from == to {
		return 0
	}
	return float64(times.TransferTime(from, to, need.Prompt))
}
