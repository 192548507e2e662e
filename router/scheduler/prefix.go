package scheduler

import (
	"container/list"

	"heatherhold.dev/core/identifier"
)

// maxPrefixes bounds the number of prefixes that an endpoint is assumed to cache.
const maxPrefixes = 64

type prefixKey struct {
	prefix      uint64
	incarnation identifier.EndpointIncarnation
}

type prefixEntry struct {
	key    prefixKey
	tokens identifier.Tokens
}

// prefixIndex records which endpoint recently ran which prompt prefix, most recent
// first for each endpoint.
type prefixIndex struct {
	entries map[prefixKey]*list.Element
	recency map[identifier.EndpointIncarnation]*list.List
	// holders counts the endpoints of each prefix.
	holders map[uint64]int
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{
		entries: make(map[prefixKey]*list.Element),
		recency: make(map[identifier.EndpointIncarnation]*list.List),
		holders: make(map[uint64]int),
	}
}

func (x *prefixIndex) add(prefix uint64, incarnation identifier.EndpointIncarnation, tokens identifier.Tokens) {
	if prefix == 0 || tokens <= 0 {
		return
	}
	key := prefixKey{
		prefix:      prefix,
		incarnation: incarnation,
	}
	recent, ok := x.recency[incarnation]
	if !ok {
		recent = list.New()
		x.recency[incarnation] = recent
	}
	if e, ok := x.entries[key]; ok {
		recent.MoveToFront(e)
		return
	}
	x.holders[prefix]++
	x.entries[key] = recent.PushFront(prefixEntry{
		key:    key,
		tokens: tokens,
	})
	if recent.Len() > maxPrefixes {
		oldest := recent.Remove(recent.Back()).(prefixEntry)
		x.remove(oldest.key)
	}
}

func (x *prefixIndex) remove(key prefixKey) {
	delete(x.entries, key)
	x.holders[key.prefix]--
	if x.holders[key.prefix] <= 0 {
		delete(x.holders, key.prefix)
	}
}

// known reports whether any endpoint is assumed to have a prompt with prefix cached.
func (x *prefixIndex) known(prefix uint64) bool {
	return x.holders[prefix] > 0
}

// cached returns how many prompt tokens of a request with prefix the endpoint
// incarnation is assumed to have cached: the length of the prefix as the first request
// with it that ran there declared it.
func (x *prefixIndex) cached(prefix uint64, incarnation identifier.EndpointIncarnation) identifier.Tokens {
	e, ok := x.entries[prefixKey{
		prefix:      prefix,
		incarnation: incarnation,
	}]
	if prefix == 0 || !ok {
		return 0
	}
	return e.Value.(prefixEntry).tokens
}
