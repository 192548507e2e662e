// Package director defines the types of the orders that are sent to model
// endpoints and of the reports that the endpoints give about their own state.
package director

import (
	"errors"

	"heatherhold.dev/core/identifier"
)

// Errors that orders return.
var (
	// ErrUnknownRequest means that the endpoint does not have the request of the order.
	ErrUnknownRequest = errors.New("the endpoint does not have the request")
	// ErrInvalidState means that the order is not valid in the endpoint's state, or that
	// the endpoint has accepted a different number of orders than expected.
	ErrInvalidState = errors.New("the order is not valid in the endpoint's state")
	// ErrStageUnavailable means that a stage of the new chain is missing or has no capacity.
	ErrStageUnavailable = errors.New("a stage of the chain is not available")
	// ErrStaleFence means that the endpoint has seen a newer fencing token.
	ErrStaleFence = errors.New("the endpoint has seen a newer fencing token")
	// ErrWrongEndpoint means that the address belongs to another endpoint.
	ErrWrongEndpoint = errors.New("the address belongs to another endpoint")
	// ErrLeaseHeld means that another instance holds the lease for orders.
	ErrLeaseHeld = errors.New("another instance holds the lease for orders")
)

// Placement orders an endpoint to hold layers [From, To).
type Placement struct {
	Endpoint identifier.Endpoint
	Address  string
	From     identifier.Layer
	To       identifier.Layer
	// Expected is how many orders the endpoint must have accepted before this one.
	Expected int64
	Fence    identifier.Fence
}

// Report is an endpoint's report of its own state; it lags behind the actual
// state.
type Report struct {
	// Orders is how many orders the endpoint has accepted.
	Orders int64
	// Busy is set while an order is being carried out.
	Busy    bool
	Waiting int
	Running int
	// Slowdown is greater than 1 if the endpoint is slow.
	Slowdown float64
	// Stalled maps each request that makes no progress to the address that it
	// waits for.
	Stalled map[identifier.Request]string
}
