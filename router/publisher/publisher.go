// Package publisher publishes the part of the control state that request handling reads.
package publisher

import (
	"sync/atomic"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/authenticator"
)

// Endpoint is one back end that can receive new requests.
type Endpoint struct {
	identifier.EndpointIncarnation
	Address    string
	DataCentre identifier.DataCentre
}

// View is a consistent snapshot of configuration and membership. It must not be
// modified after it is published.
type View struct {
	Revision    identifier.Revision
	Declaration *declarer.Declaration
	Index       *authenticator.Index
	// Live lists the instances that are not suspected, leaving or gone, in sorted
	// order.
	Live []identifier.Instance
	// Eligible lists those of the live instances that may own pools.
	Eligible []identifier.Instance
	// Readers lists the instances that read the platform's store for the others, in the
	// order in which this instance asks them; the first is the one of its own site.
	Readers []identifier.Instance
	// Peers maps every other known instance to its peer address.
	Peers map[identifier.Instance]string
	// Endpoints lists, for each service, the endpoints that are not leaving.
	Endpoints map[identifier.Service][]Endpoint
	// Site is the configuration declared by the operators of a platform that has its
	// own configuration; nil on other platforms.
	Site *cataloguer.Configuration
	// Fleet lists, for each service of such a platform, every listed endpoint,
	// including those that are leaving.
	Fleet map[identifier.Service][]cataloguer.Endpoint
	// Departures lists the endpoints that are known to have left the platform's list
	// lately, the latest first.
	Departures []cataloguer.Departure

	// listings and departed index Fleet and Departures; Publish makes them.
	listings map[identifier.EndpointIncarnation]Listing
	departed map[identifier.EndpointIncarnation]identifier.Position
}

// Listing is what an instance's list of endpoints says of one incarnation.
type Listing int

// The listings.
const (
	// Unlisted endpoints are not in the list: they have left, or are newer than it.
	Unlisted Listing = iota
	// Leaving endpoints get no new work.
	Leaving
	// Usable endpoints may get work.
	Usable
)

// Listing returns what a published view's list says of an endpoint.
func (v *View) Listing(e identifier.EndpointIncarnation) Listing {
	return v.listings[e]
}

// Departed returns the position of a list without the endpoint; false if the endpoint is not
// known to have left lately.
func (v *View) Departed(e identifier.EndpointIncarnation) (identifier.Position, bool) {
	at, ok := v.departed[e]
	return at, ok
}

// index makes the indexes.
func (v *View) index() {
	v.listings = make(map[identifier.EndpointIncarnation]Listing, v.EndpointCount())
	for _, list := range v.Fleet {
		for i := range list {
			v.listings[list[i].EndpointIncarnation] = Usable
			if list[i].Leaving {
				v.listings[list[i].EndpointIncarnation] = Leaving
			}
		}
	}
	v.departed = make(map[identifier.EndpointIncarnation]identifier.Position, len(v.Departures))
	for _, d := range v.Departures {
		v.departed[d.EndpointIncarnation] = d.At
	}
}

// Instances returns the number of known instances, including this one and those that
// can't be reached, because they may still be running.
func (v *View) Instances() int {
	return max(len(v.Live), len(v.Peers)+1)
}

// Rank returns the declaration of a rank, or nil if there is none.
func (v *View) Rank(name identifier.Rank) *declarer.Rank {
	if v.Declaration == nil {
		return nil
	}
	r, ok := v.Declaration.Rank[name]
	if !ok {
		return nil
	}
	return &r
}

// EndpointCount returns the number of listed endpoints over all services.
func (v *View) EndpointCount() int {
	n := 0
	for _, list := range v.Fleet {
		n += len(list)
	}
	return n
}

// Incarnations returns the listed endpoint incarnations of all services.
func (v *View) Incarnations() map[identifier.EndpointIncarnation]bool {
	out := make(map[identifier.EndpointIncarnation]bool, v.EndpointCount())
	for _, list := range v.Fleet {
		for i := range list {
			out[list[i].EndpointIncarnation] = true
		}
	}
	return out
}

// Delay returns the declared delay between two data centres, or defaultDelay if their link
// is not declared. It is 0 within a data centre and without a declaration.
func (v *View) Delay(from, to identifier.DataCentre) time.Duration {
	if v.Declaration == nil || from == to {
		return 0
	}
	for _, l := range v.Declaration.Link {
		if (l.From == from && l.To == to) || (l.From == to && l.To == from) {
			return l.Delay.Std()
		}
	}
	return defaultDelay
}

// defaultDelay is assumed between data centres whose link is not declared.
const defaultDelay = 500 * time.Microsecond

// Publisher holds the current view, the time until which the instance may act on it, and
// whether a planned stop has begun. Create it with New.
type Publisher struct {
	view      atomic.Pointer[View]
	confirmed atomic.Pointer[time.Time]
	list      atomic.Pointer[identifier.Position]
	stopping  atomic.Bool
}

// New returns a Publisher with an empty view.
func New() *Publisher {
	p := &Publisher{}
	p.view.Store(&View{Index: authenticator.New(nil, "")})
	p.confirmed.Store(&time.Time{})
	p.list.Store(&identifier.Position{})
	return p
}

// View returns the current view.
func (p *Publisher) View() *View {
	return p.view.Load()
}

// Publish makes v the current view.
func (p *Publisher) Publish(v *View) {
	v.index()
	p.view.Store(v)
}

// List returns the position in the history of the platform's store up to which the list of
// endpoints of the view, or of a newer one, is complete; zero if it is not known. Whoever
// compares the two reads the position first.
func (p *Publisher) List() identifier.Position {
	return *p.list.Load()
}

// SetList sets the position of the list of endpoints, after the view has been published.
func (p *Publisher) SetList(at identifier.Position) {
	p.list.Store(&at)
}

// Confirmed reports whether, at the time now, the instance may make decisions based on
// its view.
func (p *Publisher) Confirmed(now time.Time) bool {
	return now.Before(*p.confirmed.Load())
}

// ConfirmedUntil returns the time until which the instance may make decisions.
func (p *Publisher) ConfirmedUntil() time.Time {
	return *p.confirmed.Load()
}

// Confirm sets the time until which the instance may make decisions.
func (p *Publisher) Confirm(until time.Time) {
	p.confirmed.Store(&until)
}

// Stopping reports whether a planned stop has begun.
func (p *Publisher) Stopping() bool {
	return p.stopping.Load()
}

// Stop records that a planned stop has begun.
func (p *Publisher) Stop() {
	p.stopping.Store(true)
}
