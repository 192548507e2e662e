package controller

import (
	"cmp"
	"slices"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
)

const (
	// departureRetention is how long it is remembered that an endpoint left.
	departureRetention = 2 * time.Minute
	// departureSendPeriod is how long after this instance or another learned of a departure it
	// is sent in every exchange. It is longer than the cuts and pauses after which an instance
	// is to learn what it missed.
	departureSendPeriod = 30 * time.Second
	// maxDepartures is how many departures are remembered. Of more, the oldest are dropped.
	maxDepartures = 4096
)

// departures are the endpoints that left the platform's list. The zero value is usable.
type departures struct {
	byIncarnation map[identifier.EndpointIncarnation]departure
}

// departure is when and where in the list's history an endpoint was missing first.
type departure struct {
	position  identifier.Position
	learnedAt time.Time
	// certain is set if the endpoint's entry was taken out of the list, and did not just
	// fail to come back after an outage.
	certain bool
}

// add records a departure, and returns false if a later one of the endpoint is known. It
// forgets those that are too old.
func (d *departures) add(now time.Time, e identifier.EndpointIncarnation, added departure) bool {
	if d.byIncarnation == nil {
		d.byIncarnation = make(map[identifier.EndpointIncarnation]departure)
	}
	if known, ok := d.byIncarnation[e]; ok && !known.position.Before(added.position) {
		return false
	}
	d.byIncarnation[e] = added
	oldest := e
	for other, known := range d.byIncarnation {
		if now.Sub(known.learnedAt) > departureRetention {
			delete(d.byIncarnation, other)
			continue
		}
		if known.learnedAt.Before(d.byIncarnation[oldest].learnedAt) {
			oldest = other
		}
	}
	if len(d.byIncarnation) > maxDepartures {
		delete(d.byIncarnation, oldest)
	}
	return true
}

// certain returns the departures that were certain, the latest first.
func (d *departures) certain() []cataloguer.Departure {
	var out []cataloguer.Departure
	for e, known := range d.byIncarnation {
		if !known.certain {
			continue
		}
		out = append(out, cataloguer.Departure{
			EndpointIncarnation: e,
			At:                  known.position,
			LearnedAt:           known.learnedAt,
		})
	}
	slices.SortFunc(out, func(a, b cataloguer.Departure) int {
		return cmp.Or(b.LearnedAt.Compare(a.LearnedAt), cmp.Compare(a.String(), b.String()))
	})
	return out
}

// LearnDepartures applies what another instance knows of endpoints that left the list. It
// runs on the control loop.
func (c *Controller) LearnDepartures(from identifier.Instance, learned []cataloguer.Departure) {
	c.update(func(now time.Time) {
		for _, d := range learned {
			c.learnDeparture(now, from, d)
		}
	})
}

// learnDeparture removes an endpoint that another instance knows to have left, unless this
// instance's own list is as new as the other's and has the endpoint.
func (c *Controller) learnDeparture(now time.Time, from identifier.Instance, d cataloguer.Departure) {
	f := &c.fleet
	if now.Sub(d.LearnedAt) > departureRetention {
		return
	}
	name := string(d.Endpoint)
	e, listed := f.endpoints[name]
	listed = listed && e.EndpointIncarnation == d.EndpointIncarnation
	_, retained := f.retainedUntil[name]
	if listed && !retained && !f.position.Before(d.At) {
		return
	}
	isNew := f.departures.add(now, d.EndpointIncarnation, departure{
		position:  d.At,
		learnedAt: d.LearnedAt,
		certain:   true,
	})
	if isNew {
		c.publishedChangeCount = 0
	}
	if !listed {
		return
	}
	delete(f.retainedUntil, name)
	c.dropEndpoint(name, "left the list, as "+string(from)+" knows")
}

// departuresToSend returns the departures to include in an exchange. It may be called outside
// the control loop.
func (c *Controller) departuresToSend(now time.Time) []*messenger.Departure {
	return messenger.DeparturesOf(now, now.Add(-departureSendPeriod), c.Publisher.View().Departures)
}

// learnReported learns of the departures that another instance reported.
func (c *Controller) learnReported(from *messenger.Member, reported []*messenger.Departure) {
	if len(reported) == 0 || c.Source == nil {
		return
	}
	learned, err := messenger.ReadDepartures(time.Now(), reported)
	if err != nil {
		c.Log.WithError(err).WithField("peer", from.GetInstance()).Warn("departures reported by an instance set aside")
		return
	}
	c.Loop.Post(func() { c.LearnDepartures(identifier.Instance(from.GetInstance()), learned) })
}
