// Package classifier holds the closed list of error kinds and the table from
// each kind to the answer that a caller gets.
package classifier

import (
	"encoding/json"
	stderrors "errors"
	"net/http"
	"strconv"
	"time"
)

// Kind is one of the closed list of error kinds, in kebab case.
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
	NotReached         Kind = "not-reached"
	OutcomeUnknown     Kind = "outcome-unknown"
	StreamBroken       Kind = "stream-broken"
	TimedOut           Kind = "timed-out"
	Cancelled          Kind = "cancelled"
	Internal           Kind = "internal"
)

// Ran says whether the refused request ran.
type Ran string

// The values of Ran. RanNo is a promise: nothing reached an endpoint.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Answer is what a kind turns into for a caller.
type Answer struct {
	Status int
	Ran    Ran
}

var table = map[Kind]Answer{
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
	NotReached:         {Status: http.StatusBadGateway, Ran: RanNo},
	OutcomeUnknown:     {Status: http.StatusBadGateway, Ran: RanUnknown},
	TimedOut:           {Status: http.StatusGatewayTimeout, Ran: RanUnknown},
	StreamBroken:       {Status: http.StatusBadGateway, Ran: RanYes},
	Cancelled:          {Status: 499, Ran: RanUnknown},
	Internal:           {Status: http.StatusInternalServerError, Ran: RanUnknown},
}

// Kinds returns every kind, in no order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// AnswerOf returns the answer for k; a kind outside the list answers as Internal.
func AnswerOf(k Kind) Answer {
	a, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return a
}

// Error is an error of one kind.
type Error struct {
	Kind   Kind
	Detail string
	// RetryAfter is when a retry may help; zero where that is not known.
	RetryAfter time.Duration
	// Wrapped is the cause for the log; callers never see it.
	Wrapped error
}

// New returns an error of kind k with a detail that the caller may read.
func New(k Kind, detail string) *Error {
	return &Error{
		Kind:   k,
		Detail: detail,
	}
}

// Wrap returns an error of kind k whose cause goes to the log alone.
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

// Classify returns err as an Error; one of no kind becomes Internal.
func Classify(err error) *Error {
	var e *Error
	if stderrors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}

// Body is the JSON body of an error answer; "error" is as OpenAI clients read it.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the inside of Body.
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
			Ran:     AnswerOf(e.Kind).Ran,
		},
	}
}

// Write answers w with err by the table.
func Write(w http.ResponseWriter, err error) {
	e := Classify(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	h.Set("Heatherhold-Ran", string(AnswerOf(e.Kind).Ran))
	w.WriteHeader(AnswerOf(e.Kind).Status)
	// The caller is gone if this fails; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(BodyOf(e))
}
