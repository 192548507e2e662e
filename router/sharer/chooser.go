package sharer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherhold.dev/core/identifier"
)

const (
	// unavailablePause is how long an instance is not asked after it said that it has
	// no recent copy.
	unavailablePause = time.Second
	// recheckPause is how soon it may be asked again before the store is asked instead.
	recheckPause = 200 * time.Millisecond
	// silentPause is how long an instance is not asked after it did not answer. It
	// doubles with each further time, up to maxDoublings times.
	silentPause    = time.Second
	maxDoublings   = 3
	maxSilentPause = silentPause << maxDoublings
	// storePause is how long an instance that is not a reader leaves the store alone
	// after a call failed, so that an outage is not answered by calls of them all. Up to as
	// long again is added, another time for each instance, so that they do not all come
	// back at one moment.
	storePause = 2 * time.Second
	// maxSilent is how many instances in a row may be silent before the store is asked though
	// there are others: then the fault may be this instance's own connection to its peers. If
	// a few readers are silent, those that follow them do not all ask the store.
	maxSilent = 4
)

// Chooser decides which source of a table to read next. It does no I/O and reads no
// clock. The zero value is usable.
type Chooser struct {
	pauses map[identifier.Instance]pause
	// storePausedUntil is when an instance that is not a reader may ask the store.
	storePausedUntil time.Time
	// silent is the number of instances in a row that did not answer.
	silent int
	// rechecked is set once a reader without a recent copy was asked again, since the last
	// success or failure of the store.
	rechecked bool
}

// pause is why an instance is not asked.
type pause struct {
	until time.Time
	// silent is how many times in a row it did not answer.
	silent int
}

// Choose returns the source to read next: an instance, or "" for the store. readers
// are the instances that read the store, in the order in which self is to ask them;
// the first reads the store for self's site. A reader whose call to the store
// failed asks the others too, since the store may turn away some instances only.
// Choose returns false if it is too soon to try any source again.
func (c *Chooser) Choose(now time.Time, self identifier.Instance, readers []identifier.Instance) (identifier.Instance, bool) {
	isReader := len(readers) == 0 || readers[0] == self
	storePaused := now.Before(c.storePausedUntil)
	if !storePaused && (isReader || c.silent >= maxSilent) {
		return "", true
	}
	for _, r := range readers {
		if r != self && !now.Before(c.pauses[r].until) {
			return r, true
		}
	}
	if r, ok := c.recheck(now, self, readers); ok && !isReader && !storePaused {
		c.rechecked = true
		return r, true
	}
	return "", isReader || !storePaused
}

// recheck returns the first reader that had no recent copy, unless one was asked again
// already. After an outage readers have news before those that follow them; without asking
// them again, each instance would ask the store.
func (c *Chooser) recheck(now time.Time, self identifier.Instance, readers []identifier.Instance) (identifier.Instance, bool) {
	if c.rechecked {
		return "", false
	}
	for _, r := range readers {
		if p, ok := c.pauses[r]; ok && r != self && p.silent == 0 && p.until.Sub(now) <= unavailablePause-recheckPause {
			return r, true
		}
	}
	return "", false
}

// Succeeded records that a source has answered with news; "" is the store.
func (c *Chooser) Succeeded(source identifier.Instance) {
	c.silent = 0
	c.rechecked = false
	if source == "" {
		c.storePausedUntil = time.Time{}
		return
	}
	delete(c.pauses, source)
}

// Unavailable records that an instance has no recent copy.
func (c *Chooser) Unavailable(now time.Time, source identifier.Instance) {
	c.silent = 0
	c.set(now, source, pause{until: now.Add(unavailablePause)})
}

// Silent records that an instance did not answer.
func (c *Chooser) Silent(now time.Time, source identifier.Instance) {
	c.silent++
	n := c.pauses[source].silent
	c.set(now, source, pause{
		until:  now.Add(silentPause << min(n, maxDoublings)),
		silent: n + 1,
	})
}

// StoreFailed records that self's call to the store failed.
func (c *Chooser) StoreFailed(now time.Time, self identifier.Instance) {
	c.silent = 0
	c.rechecked = false
	spread := time.Duration(xxhash.Sum64String(string(self)) % uint64(storePause))
	c.storePausedUntil = now.Add(storePause + spread)
}

// set sets the pause of a source, and forgets those that ended long ago.
func (c *Chooser) set(now time.Time, source identifier.Instance, p pause) {
	if c.pauses == nil {
		c.pauses = make(map[identifier.Instance]pause)
	}
	for other, old := range c.pauses {
		if now.Sub(old.until) > maxSilentPause {
			delete(c.pauses, other)
		}
	}
	c.pauses[source] = p
}
