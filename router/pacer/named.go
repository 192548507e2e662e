package pacer

import (
	"time"
)

// Named is the limit that an endpoint names in its answers. The zero value is none.
type Named struct {
	// PerSecond is the limit in requests a second; 0 is none.
	PerSecond float64
	namedAt   time.Time
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
	return changed
}
