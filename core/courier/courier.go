// Package courier defines the types for a request that is forwarded unchanged:
// the caller's request, the information that is sent to an endpoint with it, and
// the information in the status and headers of the endpoint's response.
package courier

import (
	"net/http"
	"time"

	"heatherhold.dev/core/identifier"
)

// Request is a caller's complete request.
type Request struct {
	// ID identifies the caller's attempt.
	ID     identifier.Request
	Method string
	Host   string
	// URI is the path and the query as the caller wrote them.
	URI string
	// Header holds the headers that are forwarded to an endpoint.
	Header http.Header
	Body   []byte
	// Key is the API key, which identifies the caller.
	Key string
	// Timeout is how long after Received the caller waits for a response; 0 if
	// the caller does not specify it.
	Timeout  time.Duration
	Received time.Time
	// Prompt is the number of prompt tokens, and Output the largest number of
	// tokens in the response; both are 0 for requests to plain services.
	Prompt identifier.Tokens
	Output identifier.Tokens
	// OutputHint is the caller's estimate of the number of tokens in the response; 0
	// if there is none.
	OutputHint identifier.Tokens
	// Prefix identifies the start of the prompt that other requests share, and
	// PrefixTokens is the length of that start.
	Prefix       string
	PrefixTokens identifier.Tokens
	// Parts lists the parts of the prompt that other requests may share, from the
	// first; the part that belongs to this request alone is not among them.
	Parts []identifier.Part
	// LastEvent is the number of the last event that the caller already has.
	LastEvent int64
}

// RequestMetadata is the information that is sent to an endpoint in addition to the
// caller's request.
type RequestMetadata struct {
	// Endpoint is the only one that may run the request.
	Endpoint identifier.Endpoint
	Customer identifier.Customer
	// Remaining is the time remaining until the response is no longer useful.
	Remaining time.Duration
	// Chain lists the stages that the request passes through; empty for plain services.
	Chain []identifier.Stage
	// Order is the urgency; 0 is the most urgent.
	Order int
	// LastEvent is the number of the last event that has already been received.
	LastEvent int64
}

// ResponseMetadata is the information in the status and headers of an endpoint's
// response.
type ResponseMetadata struct {
	// Matches is set if the response belongs to this request.
	Matches bool
	// Identified is set if the response names the request; one without a name can only
	// be assumed to be to this request.
	Identified bool
	// NotRun is set if the endpoint reports that the request did not run.
	NotRun bool
	// Signed is set if the response carries an endpoint's signature. The signature
	// itself is not verified.
	Signed bool
	// RefusedBy is the address of the endpoint that refused the request; empty if
	// the response does not name one.
	RefusedBy string
	// Limit is how many requests a second the endpoint takes from all instances together;
	// 0 if the response names no limit.
	Limit float64
	// LimitError is set if the response names a limit that is not understood.
	LimitError error
	// Leaving is set if the endpoint says that it is leaving.
	Leaving bool
	// RetryAfter is for how long an endpoint that turned the request away wants no others
	// from this instance; 0 if it names no time. RetryAfterError is set if it names one that
	// is not understood.
	RetryAfter      time.Duration
	RetryAfterError error
	// IdleTimeout is how long the endpoint keeps an idle connection open; 0 if the
	// response does not specify it.
	IdleTimeout time.Duration
}
