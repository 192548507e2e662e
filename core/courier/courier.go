// Package courier has the types of a request that is passed on unchanged: what
// its caller sent, what goes to an endpoint with it, and what an endpoint's
// answer says of the request.
package courier

import (
	"net/http"
	"time"

	"heatherhold.dev/core/identifier"
)

// Request is a caller's request, whole.
type Request struct {
	// ID names the caller's attempt.
	ID     identifier.Request
	Method string
	Host   string
	// URI is path and query as the caller wrote them.
	URI string
	// Header holds what is passed on to an endpoint.
	Header http.Header
	Body   []byte
	// Key says who calls.
	Key string
	// Patience is how long the caller waits from Received on; 0 if it does not say.
	Patience time.Duration
	Received time.Time
	// Prompt is the number of prompt tokens, and Output the largest number of
	// tokens of the answer; 0 for requests that are no model work.
	Prompt identifier.Tokens
	Output identifier.Tokens
	// Hint is the caller's guess of the answer's tokens; 0 if there is none.
	Hint identifier.Tokens
	// Prefix identifies the start of the prompt that other requests share.
	Prefix       string
	PrefixTokens identifier.Tokens
	// After is the last event that the caller holds already.
	After int64
}

// Send is what goes to an endpoint beside the caller's request.
type Send struct {
	// Endpoint is the only one that may run the request.
	Endpoint identifier.Endpoint
	Customer identifier.Customer
	// Left is how long the answer is of use.
	Left time.Duration
	// Chain is the endpoints that the request passes through; empty for plain services.
	Chain []identifier.Stage
	// Order is the urgency, 0 first.
	Order int
	// After is the last event that is held already.
	After int64
}

// Answer is what the headers of an endpoint's answer say.
type Answer struct {
	// Mine is set if the answer is to this request.
	Mine bool
	// NotRun is set if the endpoint says that the request did not run.
	NotRun bool
	// Stamped is set if the answer bears an endpoint's signature.
	Stamped bool
	// AtFault is the address of the endpoint that refused; empty if it is not named.
	AtFault string
	// Idle is how long the connection stays open unused; 0 if it is not said.
	Idle time.Duration
}
