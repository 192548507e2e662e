// Package identifier defines the types of the names and quantities that
// heatherhold's programs share.
package identifier

import (
	"fmt"
	"time"
)

// Names used in the declarations and by the platform.
type (
	// Instance names one router process.
	Instance string
	// DataCentre names a data centre.
	DataCentre string
	// Site names a location; instances apply the overlay of their site.
	Site string
	// Customer names an organisation that owns callers.
	Customer string
	// Caller names one key holder of a customer.
	Caller string
	// Endpoint names one back end process.
	Endpoint string
	// Service names a service that callers request.
	Service string
	// Rank names a class of work.
	Rank string
	// Request names one request, unique in the whole system.
	Request string
	// Version names one version of a model's weights.
	Version string
	// Part names one part of a prompt that several requests may share.
	Part string
	// Fingerprint names what a caller sends: it is the same each time that the caller sends
	// the same request.
	Fingerprint string
)

// Counted quantities.
type (
	// Revision numbers the states of the configuration; it never decreases.
	Revision uint64
	// Incarnation numbers the successive processes of an endpoint or instance of
	// one name.
	Incarnation uint64
	// Layer numbers a model's layers from 0.
	Layer int32
	// Tokens counts tokens.
	Tokens int64
	// Fence is a fencing token: endpoints that check it refuse older ones.
	Fence uint64
	// Era numbers the histories of the platform's store: it is greater after each
	// restoration from an older copy. It is 0 if the platform states none.
	Era uint64
)

// Tier distinguishes paying work from free-tier work.
type Tier string

// The tiers.
const (
	Paying Tier = "paying"
	Free   Tier = "free"
)

// EndpointIncarnation identifies one incarnation of an endpoint.
type EndpointIncarnation struct {
	Endpoint    Endpoint
	Incarnation Incarnation
}

// String returns e as "endpoint#incarnation".
func (e EndpointIncarnation) String() string {
	return fmt.Sprintf("%s#%d", e.Endpoint, e.Incarnation)
}

// Stage is one endpoint's part of a chain: layers [From, To) of one version.
type Stage struct {
	EndpointIncarnation
	Address string
	From    Layer
	To      Layer
	Version Version
}

// Duration is a time span that is written in TOML with its unit, such as "430ms".
// It is not a numeric type, so that a value without a unit is an error.
type Duration struct {
	span time.Duration
}

// DurationOf returns d as a Duration.
func DurationOf(d time.Duration) Duration {
	return Duration{span: d}
}

// UnmarshalText parses a time span such as "27ms" or "9s"; the unit is required.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a time with its unit, such as \"430ms\": got %q", text)
	}
	d.span = v
	return nil
}

// MarshalText returns the time span with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.span.String()), nil
}

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration {
	return d.span
}
