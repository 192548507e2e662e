package scheduler

import (
	"time"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
)

// Outcome is how a ticket was used.
type Outcome struct {
	Tokens identifier.Tokens
	// Failed names the life that broke the stream; zero if none did.
	Failed identifier.Life
	// Gap is the mean time between tokens; zero if unknown.
	Gap time.Duration
}

// Verdict is a decision's kind.
type Verdict int

// The verdicts.
const (
	// Granted gives the request a chain.
	Granted Verdict = iota
	// Refused turns the request away; nothing ran.
	Refused
	// Revoked asks for a running request's chain back, for more urgent work.
	Revoked
)

// Decision is what is to be done with one request.
type Decision struct {
	Verdict    Verdict
	Request    identifier.Request
	Chain      []identifier.Stage
	Kind       classifier.Kind
	Detail     string
	RetryAfter time.Duration
}
