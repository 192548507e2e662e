package scheduler

import (
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
)

// Ask is a request for a chain.
type Ask struct {
	Request  identifier.Request
	Customer identifier.Customer
	Rank     identifier.Rank
	Tier     identifier.Tier
	Weight   float64
	// Entry is the data centre of the entry instance.
	Entry  identifier.DataCentre
	Prompt identifier.Tokens
	// Output is the maximum number of tokens in the response.
	Output identifier.Tokens
	// OutputHint is the caller's estimate of the number of tokens in the response; 0 if it
	// gave none.
	OutputHint identifier.Tokens
	// Version is the model version that the request must stay on; empty means the
	// declared one.
	Version identifier.Version
	// Prefix identifies the start of the prompt; 0 means that there is no prefix
	// worth caching.
	Prefix uint64
	// PrefixTokens is the length of that start; 0 if it is not known, and then nothing is
	// expected to be saved.
	PrefixTokens identifier.Tokens
	Avoid        []identifier.EndpointIncarnation
	// Repairs, if set, is an active request whose chain is to be repaired: the new
	// chain keeps its first stage and replaces no more stages than necessary.
	Repairs identifier.Request
	// Resumed is set if the caller has already received a part of the response. Such
	// a request is queued whatever the load, and refused only if it finds no chain
	// within maxResumedWait.
	Resumed bool
	// Terms are the rank's terms in the configuration of the entry instance; nil
	// if it did not send them. They apply if the pool's policy does not declare
	// the rank.
	Terms *declarer.Rank
	// Promise is what the request's route promises its caller; nil if the entry instance
	// did not send it. The targets of the rank apply then.
	Promise *Promise
}

// ActiveTicket is a ticket in use, as an entry instance reports it to a new pool owner.
type ActiveTicket struct {
	Ask
	Chain []identifier.Stage
}
