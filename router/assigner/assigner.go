// Package assigner assigns each pool its owner among the live instances.
package assigner

import (
	"github.com/cespare/xxhash/v2"

	"heatherhold.dev/core/identifier"
)

// Owner returns the instance with the highest hash for the pool (rendezvous
// hashing): when an instance comes or goes, only its own pools move.
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
