// Package director has the types of orders to model endpoints and of what the
// endpoints report of themselves.
package director

import (
	"errors"

	"heatherhold.dev/core/identifier"
)

// Errors of orders.
var (
	// ErrUnknown says that the endpoint has no such request.
	ErrUnknown = errors.New("the endpoint does not have the request")
	// ErrState says that the order does not fit the endpoint's state, or that
	// it has taken another number of orders than the one expected.
	ErrState = errors.New("the order does not fit the endpoint's state")
	// ErrPart says that a part of the new chain is missing or has no room.
	ErrPart = errors.New("a part of the chain is not to be had")
	// ErrFence says that the endpoint has seen a newer fencing number.
	ErrFence = errors.New("the endpoint has seen a newer fencing number")
	// ErrOther says that another endpoint has the address.
	ErrOther = errors.New("another endpoint has the address")
	// ErrHeld says that another instance holds the lease for orders.
	ErrHeld = errors.New("another instance holds the lease")
)

// Placement orders an endpoint to hold layers [From, To).
type Placement struct {
	Endpoint identifier.Endpoint
	Address  string
	From     identifier.Layer
	To       identifier.Layer
	// Expected is how many orders the endpoint must have taken.
	Expected int64
	Fence    identifier.Fence
}

// Report is an endpoint's word on itself; it lags.
type Report struct {
	// Orders is how many orders the endpoint has taken.
	Orders int64
	// Busy is set while an order is being carried out.
	Busy    bool
	Waiting int
	Running int
	// Pace is over 1 if the endpoint is slow.
	Pace float64
	// Stalled has, for each request that does not move, the address that it waits for.
	Stalled map[identifier.Request]string
}
