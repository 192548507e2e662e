package controller

import (
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
)

const (
	// departedRetention is how long it is remembered that an endpoint left.
	departedRetention = 2 * time.Minute
	// holdTime is how long an entry that came back with an older copy of the store is not
	// used. By then the platform has removed it, unless its endpoint is alive.
	holdTime = 10 * time.Second
)

// returnedEntries tells the entries of endpoints that had left and that only an older copy
// of the platform's store brought back. The zero value is usable.
type returnedEntries struct {
	departed map[identifier.EndpointIncarnation]time.Time
	// held has the entries that are not used, by key.
	held map[string]heldEntry
}

// heldEntry is an entry and the time until which it is not used.
type heldEntry struct {
	endpoint cataloguer.Endpoint
	until    time.Time
}

// left records that an endpoint left the list.
func (r *returnedEntries) left(now time.Time, e identifier.EndpointIncarnation) {
	if r.departed == nil {
		r.departed = make(map[identifier.EndpointIncarnation]time.Time)
	}
	for other, at := range r.departed {
		if now.Sub(at) > departedRetention {
			delete(r.departed, other)
		}
	}
	r.departed[e] = now
}

// hold moves the entries that are not to be used out of a change, and those that have been
// held for long enough into it. It returns the keys of those that are held from now on.
func (r *returnedEntries) hold(now time.Time, change *cataloguer.Change[cataloguer.Endpoint]) []string {
	for _, key := range change.Removed {
		delete(r.held, key)
	}
	for key := range r.held {
		if _, listed := change.Set[key]; change.Complete && !listed {
			delete(r.held, key)
		}
	}
	var added []string
	for key, e := range change.Set {
		_, left := r.departed[e.EndpointIncarnation]
		_, held := r.held[key]
		switch {
		case held && change.Complete:
			delete(change.Set, key)
		case left && change.Restored:
			if r.held == nil {
				r.held = make(map[string]heldEntry)
			}
			r.held[key] = heldEntry{
				endpoint: e,
				until:    now.Add(holdTime),
			}
			delete(change.Set, key)
			added = append(added, key)
		default:
			// The endpoint has written its entry again.
			delete(r.held, key)
			delete(r.departed, e.EndpointIncarnation)
		}
	}
	for key, h := range r.held {
		if !now.After(h.until) {
			continue
		}
		if change.Set == nil {
			change.Set = make(map[string]cataloguer.Endpoint)
		}
		change.Set[key] = h.endpoint
		delete(r.held, key)
	}
	return added
}

// holdReturned keeps entries of endpoints that had left out of a change of a restored
// store.
func (c *Controller) holdReturned(now time.Time, change *cataloguer.Change[cataloguer.Endpoint]) {
	for _, key := range c.fleet.returned.hold(now, change) {
		c.Log.WithField("endpoint", key).Info("endpoint that had left is back with an older copy of the store; not used until it writes its entry again")
	}
}
