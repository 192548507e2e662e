package scheduler

import (
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
)

// Ask is a request that wants a chain.
type Ask struct {
	Request  identifier.Request
	Customer identifier.Customer
	Rank     identifier.Rank
	Tier     identifier.Tier
	Weight   float64
	Entry    identifier.DataCentre
	Prompt   identifier.Tokens
	// Output is the most tokens that the answer may have.
	Output identifier.Tokens
	// Version is the version that the request keeps to; empty means the declared one.
	Version identifier.Version
	// Prefix identifies the start of the prompt; 0 means none worth keeping.
	Prefix uint64
	Avoid  []identifier.Life
	// Moves, if it is set, is a request in flight whose chain is to be changed no
	// more than needed, and to keep its first stage.
	Moves identifier.Request
	// Resumed is set if the caller holds a part of the answer already: such a
	// request is never refused for load.
	Resumed bool
	// Terms are the rank's by the entry's configuration; nil if they are not
	// told. They hold where the pool's policy does not know the rank.
	Terms *declarer.Rank
}

// Held is a ticket that is in use, as an entry reports it to a new owner.
type Held struct {
	Ask
	Chain []identifier.Stage
}
