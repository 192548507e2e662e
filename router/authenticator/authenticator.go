// Package authenticator identifies callers and operators by their bearer keys, of
// which it holds only hashes. A caller's key gives no access as an operator, and
// an operator's key gives none as a caller.
package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
)

// Caller describes who sent a request and what the sender may use.
type Caller struct {
	Customer identifier.Customer
	Caller   identifier.Caller
	Tier     identifier.Tier
	Weight   float64
	Rank     identifier.Rank
	// Services lists the services that the caller may use; empty means all.
	Services []identifier.Service
}

// MayUse reports whether the caller may use a service.
func (c Caller) MayUse(s identifier.Service) bool {
	return len(c.Services) == 0 || slices.Contains(c.Services, s)
}

// Index maps the hashes of keys to callers and operators.
type Index struct {
	callers   map[string]Caller
	operators map[string]string
}

// New returns the index of a declaration, which may be nil. bootstrap is the hash
// of the operator key in the settings, or empty if there is none.
func New(d *declarer.Declaration, bootstrap string) *Index {
	x := &Index{
		callers:   make(map[string]Caller),
		operators: make(map[string]string),
	}
	if bootstrap != "" {
		x.operators[bootstrap] = "settings"
	}
	if d == nil {
		return x
	}
	for name, o := range d.Operator {
		x.operators[o.KeySHA256] = name
	}
	for name, customer := range d.Customer {
		for callerName, caller := range customer.Caller {
			x.callers[caller.KeySHA256] = Caller{
				Customer: name,
				Caller:   callerName,
				Tier:     customer.Tier,
				Weight:   customer.Weight,
				Rank:     caller.Rank,
				Services: caller.Services,
			}
		}
	}
	return x
}

// Caller returns the caller whose key is in the Authorization header of r.
func (x *Index) Caller(r *http.Request) (Caller, error) {
	hash, ok := hashOf(r)
	if !ok {
		return Caller{}, classifier.New(classifier.Unauthenticated, "the request needs an Authorization header with a bearer key")
	}
	c, ok := x.callers[hash]
	if !ok {
		return Caller{}, classifier.New(classifier.Unauthenticated, "unknown API key")
	}
	return c, nil
}

// Operator returns the name of the operator whose key is in the Authorization header
// of r.
func (x *Index) Operator(r *http.Request) (string, error) {
	hash, ok := hashOf(r)
	if !ok {
		return "", classifier.New(classifier.Unauthenticated, "the request needs an Authorization header with an operator's bearer key")
	}
	name, ok := x.operators[hash]
	if !ok {
		return "", classifier.New(classifier.Unauthenticated, "the key is not an operator's")
	}
	return name, nil
}

// hashOf returns the hash of the bearer key of r, and whether r has one.
func hashOf(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	return Hash(key), true
}

// Hash returns the hash of a key in the form that declarations use.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
