package controller_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/publisher"
)

// endpointAt returns an endpoint with an address and an incarnation; later starts
// have higher incarnations.
func endpointAt(address string, name identifier.Endpoint, incarnation identifier.Incarnation) cataloguer.Endpoint {
	e := endpoint(name, false)
	e.Address = address
	e.Incarnation = incarnation
	return e
}

// TestAddressReusedByNewEndpoint guards against a chain that includes an endpoint
// that is gone, or the same endpoint twice. This happens when a new endpoint
// starts at the address of an endpoint that is still listed.
func TestAddressReusedByNewEndpoint(t *testing.T) {
	i := start(t)
	i.sites.changes <- configurationAt(1)
	i.endpoints.changes <- fullList(endpointAt("10.0.0.1:80", "a", 1), endpointAt("10.0.0.2:80", "b", 1))
	i.waitFor(t, "both endpoints", func(v *publisher.View) bool { return availableEndpoints(v) == "a b " })
	i.endpoints.down <- struct{}{}
	time.Sleep(2 * time.Millisecond)
	i.endpoints.changes <- fullList(endpointAt("10.0.0.2:80", "b", 1), endpointAt("10.0.0.1:80", "c", 2))
	i.waitFor(t, "endpoints b and c, where c has a's address", func(v *publisher.View) bool { return availableEndpoints(v) == "b c " })
}

// TestAddressSharedByTwoServices guards against an endpoint that is left out
// because an entry of another service, even one that is not in use, has the same
// address.
func TestAddressSharedByTwoServices(t *testing.T) {
	i := start(t)
	i.sites.changes <- configurationAt(1)
	other := endpointAt("10.0.0.1:80", "c", 2)
	other.Service = "other"
	i.endpoints.changes <- fullList(endpointAt("10.0.0.1:80", "a", 1), other, endpointAt("10.0.0.2:80", "b", 1))
	i.waitFor(t, "both endpoints", func(v *publisher.View) bool { return availableEndpoints(v) == "a b " })
}
