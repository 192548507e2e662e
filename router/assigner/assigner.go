// Package assigner assigns each pool to an owner among the live instances.
package assigner

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherhold.dev/core/identifier"
)

// Candidate is a live instance that may own pools or read the platform's store.
type Candidate struct {
	Instance identifier.Instance
	Site     identifier.Site
	// Processor is the processor time that the instance may use, in thousandths of a
	// core; 0 if it is not known.
	Processor uint32
	// Unlisted is set if the instance has no list of endpoints.
	Unlisted bool
}

// strongestShare is the least share of the strongest candidate's processor time that
// an owner has. An owner's work does not depend on its own strength: on a weak
// instance it would use up the processor time and hold up every entry.
const strongestShare = 0.5

// Eligible returns the candidates that may own pools, in the order in which they are
// given: of those that have a list of endpoints the ones that are about as strong as the
// strongest of them. If none has a list, all count.
func Eligible(candidates []Candidate) []identifier.Instance {
	var listed []Candidate
	for _, c := range candidates {
		if !c.Unlisted {
			listed = append(listed, c)
		}
	}
	if len(listed) == 0 {
		listed = candidates
	}
	return strong(listed)
}

// strong returns the candidates that are about as strong as the strongest.
func strong(candidates []Candidate) []identifier.Instance {
	var strongest uint32
	for _, c := range candidates {
		strongest = max(strongest, c.Processor)
	}
	var out []identifier.Instance
	for _, c := range candidates {
		if float64(c.Processor) >= strongestShare*float64(strongest) {
			out = append(out, c.Instance)
		}
	}
	return out
}

// Owner returns the instance with the highest hash for the pool (rendezvous
// hashing), and false if there is no instance. When an instance joins or leaves,
// only the pools that it owns change owner.
func Owner(pool identifier.Service, eligible []identifier.Instance) (identifier.Instance, bool) {
	var owner identifier.Instance
	var highest uint64
	for _, i := range eligible {
		h := hash(pool, i)
		if owner == "" || h > highest || (h == highest && i > owner) {
			owner, highest = i, h
		}
	}
	return owner, owner != ""
}

// Rank returns how many of the eligible instances come before i for a pool: 0 for its
// owner, 1 for the instance that would own it without the owner. It returns false if
// i is not eligible.
func Rank(pool identifier.Service, eligible []identifier.Instance, i identifier.Instance) (int, bool) {
	if !slices.Contains(eligible, i) {
		return 0, false
	}
	own := hash(pool, i)
	rank := 0
	for _, other := range eligible {
		if h := hash(pool, other); h > own || (h == own && other > i) {
			rank++
		}
	}
	return rank, true
}

func hash(pool identifier.Service, i identifier.Instance) uint64 {
	return xxhash.Sum64String(string(pool) + "\x00" + string(i))
}

// readerPool is the name under which the reader of a site is chosen.
const readerPool = identifier.Service("store-reader\x00")

// Readers returns the instances that read the platform's store, one for each site, in
// the order in which an instance of the given site asks them: its own site's first,
// the others in an order that differs between sites. Instances without a list of endpoints
// count as well: they get it by reading.
func Readers(site identifier.Site, candidates []Candidate) []identifier.Instance {
	bySite := make(map[identifier.Site][]Candidate)
	for _, c := range candidates {
		bySite[c.Site] = append(bySite[c.Site], c)
	}
	var out []identifier.Instance
	if own, ok := Owner(readerPool, strong(bySite[site])); ok {
		out = append(out, own)
	}
	delete(bySite, site)
	var others []identifier.Instance
	for _, list := range bySite {
		if reader, ok := Owner(readerPool, strong(list)); ok {
			others = append(others, reader)
		}
	}
	for len(others) > 0 {
		next, _ := Owner(identifier.Service(site), others)
		out = append(out, next)
		others = slices.DeleteFunc(others, func(i identifier.Instance) bool { return i == next })
	}
	return out
}
