package controller

import (
	"time"

	"heatherhold.dev/core/cataloguer"
)

// holdTime is how long an entry that came back with an older copy of the store is not
// used. By then the platform has removed it, unless its endpoint is alive.
const holdTime = 10 * time.Second

// returnedEntries tells the entries of endpoints that had left and that only an older copy
// of the platform's store brought back. The zero value is usable.
type returnedEntries struct {
	// held has the entries that are not used, by key.
	held map[string]heldEntry
}

// heldEntry is an entry and the time until which it is not used.
type heldEntry struct {
	endpoint cataloguer.Endpoint
	until    time.Time
}

// hold moves the entries that are not to be used out of a change, and those that have been
// held for long enough into it. It also takes out the entries of endpoints that are known to
// have left later than the change was read. It returns the keys of those that are held from
// now on.
func (r *returnedEntries) hold(now time.Time, left *departures, change *cataloguer.Change[cataloguer.Endpoint]) []string {
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
		departed, hasLeft := left.byIncarnation[e.EndpointIncarnation]
		_, held := r.held[key]
		switch {
		case hasLeft && change.Position.Before(departed.position):
			delete(change.Set, key)
		case held && change.Complete:
			delete(change.Set, key)
		case hasLeft && change.Restored:
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
			delete(left.byIncarnation, e.EndpointIncarnation)
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
	for _, key := range c.fleet.returned.hold(now, &c.fleet.departures, change) {
		c.Log.WithField("endpoint", key).Info("endpoint that had left is back with an older copy of the store; not used until it writes its entry again")
	}
}
