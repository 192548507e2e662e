// Package observer publishes what traffic may read of the control state.
package observer

import (
	"sync/atomic"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/authenticator"
)

// Endpoint is one back end that may get new work.
type Endpoint struct {
	identifier.Life
	Address    string
	DataCentre identifier.DataCentre
}

// View is one consistent state of configuration and membership. It is never
// changed after it was published.
type View struct {
	Revision    identifier.Revision
	Declaration *declarer.Declaration
	Index       *authenticator.Index
	// Live lists the instances that can own pools, in order.
	Live []identifier.Instance
	// Peers holds the peer address of every other known instance.
	Peers map[identifier.Instance]string
	// Endpoints lists, for each service, the endpoints that are not leaving.
	Endpoints map[identifier.Service][]Endpoint
	// Site is what the operators of a platform with its own configuration have
	// declared; nil elsewhere.
	Site *cataloguer.Configuration
	// Fleet lists, for each service of such a platform, every listed endpoint,
	// also those that leave.
	Fleet map[identifier.Service][]cataloguer.Endpoint
}

// Instances returns how many instances are known, this one included: also those
// that can't be reached, which may still be at work.
func (v *View) Instances() int {
	return max(len(v.Live), len(v.Peers)+1)
}

// Rank returns what is declared for a rank; nil if nothing is.
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

// Size returns how many endpoints are listed for all services.
func (v *View) Size() int {
	n := 0
	for _, list := range v.Fleet {
		n += len(list)
	}
	return n
}

// Delay returns the declared delay between two data centres.
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

// Observer holds the view in force. Make it with New.
type Observer struct {
	view      atomic.Pointer[View]
	confirmed atomic.Pointer[time.Time]
	stopping  atomic.Bool
}

// New returns an observer whose view is empty.
func New() *Observer {
	o := &Observer{}
	o.view.Store(&View{Index: authenticator.New(nil, "")})
	o.confirmed.Store(&time.Time{})
	return o
}

// View returns the view in force.
func (o *Observer) View() *View {
	return o.view.Load()
}

// Publish puts v in force.
func (o *Observer) Publish(v *View) {
	o.view.Store(v)
}

// Confirmed reports whether the instance may decide by its view at now.
func (o *Observer) Confirmed(now time.Time) bool {
	return now.Before(*o.confirmed.Load())
}

// ConfirmedUntil returns until when the instance may decide.
func (o *Observer) ConfirmedUntil() time.Time {
	return *o.confirmed.Load()
}

// Confirm sets until when the instance may decide.
func (o *Observer) Confirm(until time.Time) {
	o.confirmed.Store(&until)
}

// Stopping reports whether a planned stop has begun.
func (o *Observer) Stopping() bool {
	return o.stopping.Load()
}

// Stop notes that a planned stop has begun.
func (o *Observer) Stop() {
	o.stopping.Store(true)
}
