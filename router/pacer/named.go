package pacer

import (
	"time"
)

// reportInterval is how often a limit that an endpoint goes on to name is reported.
const reportInterval = time.Second

// Named is the limit that an endpoint names in its answers. The zero value is none.
type Named struct {
	// PerSecond is the limit in requests a second; 0 is none.
	PerSecond  float64
	namedAt    time.Time
	reportedAt time.Time
}

// Update records that the answer to a request that was sent at sentAt names a limit, or
// none if perSecond is 0. It reports whether the limit changed. An answer to a request
// that was sent before the limit was last named does not end it.
func (n *Named) Update(now, sentAt time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		if n.PerSecond == 0 || sentAt.Before(n.namedAt) {
			return false
		}
		*n = Named{}
		return true
	}
	changed := n.PerSecond != perSecond
	n.PerSecond = perSecond
	n.namedAt = now
	if changed {
		n.reportedAt = time.Time{}
	}
	return changed
}

// Report reports whether others are to be told of the limit, because they were not within
// reportInterval, and counts them as told.
func (n *Named) Report(now time.Time) bool {
	if n.PerSecond == 0 || now.Sub(n.reportedAt) < reportInterval {
		return false
	}
	n.reportedAt = now
	return true
}

// Age returns how long ago the limit was last named.
func (n *Named) Age(now time.Time) time.Duration {
	return now.Sub(n.namedAt)
}
