package proxier

import (
	"time"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
)

// recordWishes records what an endpoint says in its answer to j about further requests:
// that it is leaving, or for how long it wants none.
func (x *Proxier) recordWishes(j Job, e identifier.EndpointIncarnation, info courier.ResponseMetadata) {
	if !info.Identified {
		// The answer may be an earlier one, of another process at the address.
		return
	}
	if info.Leaving && x.OnLeaving != nil {
		x.OnLeaving(e)
	}
	log := x.log(j).WithField("endpoint", e.Endpoint)
	if info.RetryAfterError != nil {
		log.WithError(info.RetryAfterError).Warn("time for which an endpoint wants no requests not understood")
	}
	if info.RetryAfter > 0 {
		x.Balancer.Pause(e, time.Now().Add(info.RetryAfter))
		log.WithField("retry-after-ms", info.RetryAfter.Milliseconds()).Info("endpoint wants no requests for a while")
	}
}

// pausedError returns the refusal of a request for which only chains are granted that start
// at an endpoint that wants no requests until a time.
func pausedError(until time.Time) error {
	return &classifier.Error{
		Kind:       classifier.Overloaded,
		Detail:     "the endpoints of the service want no more requests for now",
		RetryAfter: min(time.Until(until), maxLimitRetryAfter),
	}
}
