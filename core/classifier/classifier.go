// Package classifier defines the error kinds, a closed list, and the response that
// a caller gets for each kind.
package classifier

import (
	"encoding/json"
	stderrors "errors"
	"net/http"
	"strconv"
	"time"
)

// Kind is an error kind in kebab case; the list of kinds is closed.
type Kind string

// The error kinds.
const (
	BadRequest         Kind = "bad-request"
	Unauthenticated    Kind = "unauthenticated"
	Forbidden          Kind = "forbidden"
	NotFound           Kind = "not-found"
	TooSlow            Kind = "too-slow"
	TooLarge           Kind = "too-large"
	HeaderTooLarge     Kind = "header-too-large"
	KeyReused          Kind = "key-reused"
	Conflict           Kind = "conflict"
	Overloaded         Kind = "overloaded"
	NoChain            Kind = "no-chain"
	Stopping           Kind = "stopping"
	StaleConfiguration Kind = "stale-configuration"
	PlatformDown       Kind = "platform-down"
	Quarantined        Kind = "quarantined"
	NotReached         Kind = "not-reached"
	OutcomeUnknown     Kind = "outcome-unknown"
	StreamBroken       Kind = "stream-broken"
	TimedOut           Kind = "timed-out"
	Cancelled          Kind = "cancelled"
	Internal           Kind = "internal"
)

// Ran specifies whether a request that got an error response ran.
type Ran string

// The values of Ran. RanNo guarantees that no endpoint ran the request.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Response is how errors of one kind are reported to a caller.
type Response struct {
	Status int
	Ran    Ran
}

var responses = map[Kind]Response{
	BadRequest:         {Status: http.StatusBadRequest, Ran: RanNo},
	Unauthenticated:    {Status: http.StatusUnauthorized, Ran: RanNo},
	Forbidden:          {Status: http.StatusForbidden, Ran: RanNo},
	NotFound:           {Status: http.StatusNotFound, Ran: RanNo},
	TooSlow:            {Status: http.StatusRequestTimeout, Ran: RanNo},
	TooLarge:           {Status: http.StatusRequestEntityTooLarge, Ran: RanNo},
	HeaderTooLarge:     {Status: http.StatusRequestHeaderFieldsTooLarge, Ran: RanNo},
	KeyReused:          {Status: http.StatusUnprocessableEntity, Ran: RanNo},
	Conflict:           {Status: http.StatusConflict, Ran: RanNo},
	Overloaded:         {Status: http.StatusTooManyRequests, Ran: RanNo},
	NoChain:            {Status: http.StatusServiceUnavailable, Ran: RanNo},
	Stopping:           {Status: http.StatusServiceUnavailable, Ran: RanNo},
	StaleConfiguration: {Status: http.StatusServiceUnavailable, Ran: RanNo},
	PlatformDown:       {Status: http.StatusServiceUnavailable, Ran: RanNo},
	Quarantined:        {Status: http.StatusServiceUnavailable, Ran: RanNo},
	NotReached:         {Status: http.StatusBadGateway, Ran: RanNo},
	OutcomeUnknown:     {Status: http.StatusBadGateway, Ran: RanUnknown},
	TimedOut:           {Status: http.StatusGatewayTimeout, Ran: RanUnknown},
	StreamBroken:       {Status: http.StatusBadGateway, Ran: RanYes},
	Cancelled:          {Status: 499, Ran: RanUnknown},
	Internal:           {Status: http.StatusInternalServerError, Ran: RanUnknown},
}

// Kinds returns every kind, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}

// ResponseOf returns the response for k; for a kind that is not in the list it
// returns the response for Internal.
func ResponseOf(k Kind) Response {
	r, ok := responses[k]
	if !ok {
		return responses[Internal]
	}
	return r
}

// Error is an error of one kind.
type Error struct {
	Kind   Kind
	Detail string
	// RetryAfter is the time after which a retry may succeed; zero if it is unknown.
	RetryAfter time.Duration
	// Wrapped is the cause, for the log only; it is never sent to callers.
	Wrapped error
}

// New returns an error of kind k; the detail is sent to the caller.
func New(k Kind, detail string) *Error {
	return &Error{
		Kind:   k,
		Detail: detail,
	}
}

// Wrap returns an error of kind k; the detail is sent to the caller, the cause
// err goes only to the log.
func Wrap(k Kind, err error, detail string) *Error {
	return &Error{
		Kind:    k,
		Detail:  detail,
		Wrapped: err,
	}
}

// Error returns kind, detail and cause in one line.
func (e *Error) Error() string {
	s := string(e.Kind) + ": " + e.Detail
	if e.Wrapped != nil {
		s += ": " + e.Wrapped.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Wrapped
}

// Classify returns the Error in err's chain; an error without one is wrapped in
// an Error of kind Internal.
func Classify(err error) *Error {
	var e *Error
	if stderrors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}

// Body is the JSON body of an error response; OpenAI clients expect the key "error".
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object of a Body.
type BodyError struct {
	Kind    Kind   `json:"kind"`
	Type    Kind   `json:"type"`
	Message string `json:"message"`
	Ran     Ran    `json:"ran"`
}

// BodyOf returns the body for err.
func BodyOf(err error) Body {
	e := Classify(err)
	return Body{
		Error: BodyError{
			Kind:    e.Kind,
			Type:    e.Kind,
			Message: e.Detail,
			Ran:     ResponseOf(e.Kind).Ran,
		},
	}
}

// Write writes the response for err to w.
func Write(w http.ResponseWriter, err error) {
	e := Classify(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	h.Set("Heatherhold-Ran", string(ResponseOf(e.Kind).Ran))
	w.WriteHeader(ResponseOf(e.Kind).Status)
	// An error here means that the caller has disconnected; it can't be reported
	// to anyone.
	_ = json.NewEncoder(w).Encode(BodyOf(e))
}
