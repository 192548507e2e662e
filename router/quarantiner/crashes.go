package quarantiner

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// maxRecentCrashes limits the crashes in each of the two generations of recentCrashes.
const maxRecentCrashes = 1024

// recentCrashes holds when endpoints crashed, in two generations, so that old crashes are dropped
// together.
type recentCrashes struct {
	current, previous map[identifier.EndpointIncarnation]time.Time
}

// add adds a report of a crash. Of several the earliest holds.
func (c *recentCrashes) add(at time.Time, incarnation identifier.EndpointIncarnation) {
	if old, ok := c.at(incarnation); ok && !at.Before(old) {
		return
	}
	if c.current == nil || len(c.current) >= maxRecentCrashes {
		c.previous = c.current
		c.current = make(map[identifier.EndpointIncarnation]time.Time)
	}
	c.current[incarnation] = at
}

// at returns when an endpoint crashed.
func (c *recentCrashes) at(incarnation identifier.EndpointIncarnation) (time.Time, bool) {
	if at, ok := c.current[incarnation]; ok {
		return at, true
	}
	at, ok := c.previous[incarnation]
	return at, ok
}
