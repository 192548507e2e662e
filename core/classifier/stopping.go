package classifier

import (
	stderrors "errors"
	"time"
)

// ErrStopping is the cause with which the context of a request ends if a planned stop leaves no more
// time for it.
var ErrStopping = stderrors.New("the instance is stopping")

// stoppingRetryAfter is the suggested retry delay while the instance is stopping; the retry should
// reach another instance.
const stoppingRetryAfter = 50 * time.Millisecond

// NewStopping returns the error for a request that did not run because the instance is stopping. Its
// cause err may be nil.
func NewStopping(err error) *Error {
	return &Error{
		Kind:       Stopping,
		Detail:     "the instance is stopping; retry to reach another instance",
		RetryAfter: stoppingRetryAfter,
		Wrapped:    err,
	}
}

// NewStopped returns the error for a request that may have run and that a planned stop ended.
func NewStopped(err error) *Error {
	return Wrap(TimedOut, err, "the instance stopped before the request was completed")
}
