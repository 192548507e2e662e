package proxier

import (
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/classifier"
)

// ErrStopping is the cause with which the context of a request ends if a planned stop leaves no more
// time for it.
var ErrStopping = errors.New("the instance is stopping")

// stoppingRetryAfter is the suggested retry delay while the instance is stopping; the retry should
// reach another instance.
const stoppingRetryAfter = 50 * time.Millisecond

// NewStoppingError returns the error for a request that did not run because the instance is
// stopping. Its cause err may be nil.
func NewStoppingError(err error) *classifier.Error {
	return &classifier.Error{
		Kind:       classifier.Stopping,
		Detail:     "the instance is stopping; retry to reach another instance",
		RetryAfter: stoppingRetryAfter,
		Wrapped:    err,
	}
}
