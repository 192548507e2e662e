// Package assigner assigns each pool to an owner among the live instances.
package assigner

import (
	"github.com/cespare/xxhash/v2"

	"heatherhold.dev/core/identifier"
)

// Owner returns the live instance with the highest hash for the pool (rendezvous
// hashing), and false if there is no live instance. When an instance joins or
// leaves, only the pools that it owns change owner.
func Owner(pool identifier.Service, live []identifier.Instance) (identifier.Instance, bool) {
	var owner identifier.Instance
	var highest uint64
	for _, i := range live {
		h := xxhash.Sum64String(string(pool) + "\x00" + string(i))
		if owner == "" || h > highest || (h == highest && i > owner) {
			owner, highest = i, h
		}
	}
	return owner, owner != ""
}
