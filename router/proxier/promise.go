package proxier

import (
	"time"

	"google.golang.org/protobuf/proto"

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
	promise := &messenger.Promise{
		FirstTokenMs:    (route.Target - now.Sub(received)).Milliseconds(),
		BetweenTokensMs: route.Gap.Milliseconds(),
		RemainingMs:     s.job.Deadline.Sub(now).Milliseconds(),
	}
	if route.Patience > 0 {
		promise.PatienceMs = proto.Int64((route.Patience - now.Sub(received)).Milliseconds())
	}
	return promise
}
