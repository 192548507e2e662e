package scheduler

import (
	"time"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
)

// Outcome is the result of a request that held a chain.
type Outcome struct {
	Tokens identifier.Tokens
	// Failed is the endpoint incarnation that broke the stream; zero if none did.
	Failed identifier.EndpointIncarnation
	// Gap is the mean time between tokens; zero if unknown.
	Gap time.Duration
	// FirstEvent is the time from the sending of the request to the first stage until its
	// first event; zero if there was none or it is unknown.
	FirstEvent time.Duration
}

// Verdict is the kind of a decision.
type Verdict int

// The verdicts.
const (
	// Granted gives the request a chain.
	Granted Verdict = iota
	// Refused rejects the request; no part of it has run.
	Refused
	// Revoked asks an active request to release its chain for more urgent work.
	Revoked
)

// Decision is the scheduler's decision on one request.
type Decision struct {
	Verdict    Verdict
	Request    identifier.Request
	Chain      []identifier.Stage
	Kind       classifier.Kind
	Detail     string
	RetryAfter time.Duration
}
