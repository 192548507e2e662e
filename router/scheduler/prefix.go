package scheduler

import (
	"container/list"

	"heatherhold.dev/core/identifier"
)

// prefixLimit bounds how many prefixes an endpoint is believed to cache.
const prefixLimit = 64

type prefixKey struct {
	prefix uint64
	life   identifier.Life
}

type prefixNote struct {
	key    prefixKey
	tokens identifier.Tokens
}

// prefixIndex remembers which endpoint has lately run which prompt prefix,
// the latest first for each endpoint.
type prefixIndex struct {
	notes map[prefixKey]*list.Element
	lives map[identifier.Life]*list.List
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{
		notes: make(map[prefixKey]*list.Element),
		lives: make(map[identifier.Life]*list.List),
	}
}

func (x *prefixIndex) note(prefix uint64, l identifier.Life, tokens identifier.Tokens) {
	if prefix == 0 {
		return
	}
	key := prefixKey{
		prefix: prefix,
		life:   l,
	}
	recent, ok := x.lives[l]
	if !ok {
		recent = list.New()
		x.lives[l] = recent
	}
	if e, ok := x.notes[key]; ok {
		recent.MoveToFront(e)
		return
	}
	x.notes[key] = recent.PushFront(prefixNote{
		key:    key,
		tokens: tokens,
	})
	if recent.Len() > prefixLimit {
		oldest := recent.Remove(recent.Back()).(prefixNote)
		delete(x.notes, oldest.key)
	}
}

// cached returns how many tokens of prefix the life is believed to hold.
func (x *prefixIndex) cached(prefix uint64, l identifier.Life) identifier.Tokens {
	e, ok := x.notes[prefixKey{
		prefix: prefix,
		life:   l,
	}]
	if prefix == 0 || !ok {
		return 0
	}
	return e.Value.(prefixNote).tokens
}
