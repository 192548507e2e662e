package proxier

import (
	"time"

	"heatherhold.dev/core/messenger"
)

// promise returns what the request's route promises the caller, as times from now; nil if
// the route has no target. The time until the first event counts from when the request was
// received.
func (s *stream) promise(now time.Time) *messenger.Promise {
	route := s.job.Route
	if route.Target <= 0 {
		return nil
	}
	received := s.job.Request.Received
	if received.IsZero() {
		received = s.timing.startedAt
	}
	return &messenger.Promise{
		FirstTokenMs:    (route.Target - now.Sub(received)).Milliseconds(),
		BetweenTokensMs: route.Gap.Milliseconds(),
		RemainingMs:     s.job.Deadline.Sub(now).Milliseconds(),
	}
}
