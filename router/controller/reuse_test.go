package controller_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/observer"
)

// at returns an endpoint at an address, by the order of starts.
func at(address string, name identifier.Endpoint, start identifier.Incarnation) cataloguer.Endpoint {
	e := endpoint(name, false)
	e.Address = address
	e.Incarnation = start
	return e
}

// TestOneAddressTwiceInList guards against a chain through an endpoint that is
// gone, or twice through one, since another has started at its address.
func TestOneAddressTwiceInList(t *testing.T) {
	i := start(t)
	i.sites.changes <- site(1)
	i.endpoints.changes <- whole(at("10.0.0.1:80", "a", 1), at("10.0.0.2:80", "b", 1))
	i.wait(t, "both endpoints", func(v *observer.View) bool { return names(v) == "a b " })
	i.endpoints.down <- struct{}{}
	time.Sleep(2 * time.Millisecond)
	i.endpoints.changes <- whole(at("10.0.0.2:80", "b", 1), at("10.0.0.1:80", "c", 2))
	i.wait(t, "b and c, which has a's address", func(v *observer.View) bool { return names(v) == "b c " })
}

// TestOneAddressOfTwoServices guards against an endpoint that is left out since
// an entry of another service, which may name none to use, has its address.
func TestOneAddressOfTwoServices(t *testing.T) {
	i := start(t)
	i.sites.changes <- site(1)
	other := at("10.0.0.1:80", "c", 2)
	other.Service = "other"
	i.endpoints.changes <- whole(at("10.0.0.1:80", "a", 1), other, at("10.0.0.2:80", "b", 1))
	i.wait(t, "both endpoints", func(v *observer.View) bool { return names(v) == "a b " })
}
