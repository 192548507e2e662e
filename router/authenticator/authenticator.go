// Package authenticator finds out who calls, from bearer keys that are kept as
// hashes. Keys of callers and of operators never open each other's doors.
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

// Caller is who sent a request and what may be asked for.
type Caller struct {
	Customer identifier.Customer
	Caller   identifier.Caller
	Tier     identifier.Tier
	Weight   float64
	Rank     identifier.Rank
	Services []identifier.Service
}

// May reports whether the caller may use a service.
func (c Caller) May(s identifier.Service) bool {
	return len(c.Services) == 0 || slices.Contains(c.Services, s)
}

// Index finds callers and operators by the hash of their key.
type Index struct {
	callers   map[string]Caller
	operators map[string]string
}

// New returns the index of a declaration; bootstrap is the hash of the key that
// is in the settings, or empty.
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

// Caller returns who sent r.
func (x *Index) Caller(r *http.Request) (Caller, error) {
	hash, ok := hashOf(r)
	if !ok {
		return Caller{}, classifier.New(classifier.Unauthenticated, "want an Authorization header with a bearer key")
	}
	c, ok := x.callers[hash]
	if !ok {
		return Caller{}, classifier.New(classifier.Unauthenticated, "the key is not known")
	}
	return c, nil
}

// Operator returns the name of the operator who sent r.
func (x *Index) Operator(r *http.Request) (string, error) {
	hash, ok := hashOf(r)
	if !ok {
		return "", classifier.New(classifier.Unauthenticated, "want an Authorization header with an operator's bearer key")
	}
	name, ok := x.operators[hash]
	if !ok {
		return "", classifier.New(classifier.Unauthenticated, "the key is not an operator's")
	}
	return name, nil
}

func hashOf(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	return Hash(key), true
}

// Hash returns a key's hash as declarations hold it.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
