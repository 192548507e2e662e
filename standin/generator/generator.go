// Package generator stands in for a model engine that holds a range of layers.
//
// Its tokens depend on every layer having run once, in order, for the prompt
// and the tokens before; Text gives the answer that a whole model would.
package generator

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"heatherhold.dev/core/messenger"
)

var words = strings.Fields(`heather glass plate river stone bell lantern oak
salt harbour quiet morning bronze linen meadow ember north tide willow amber
garden copper light valley pine silver thread window orchard winter hill song`)

const (
	shortest = 8   // tokens
	spread   = 120 // tokens
	prime    = 0x9E3779B97F4A7C15
)

// seed returns the state in which a token enters layer 0.
func seed(prompt string, tokens []string) uint64 {
	d := xxhash.New()
	// Writing to a hash can't fail.
	_, _ = d.WriteString(prompt)
	state := d.Sum64()
	for _, t := range tokens {
		state = extend(state, t)
	}
	return state
}

// extend returns the entry state of the next token after token.
func extend(state uint64, token string) uint64 {
	return (state ^ xxhash.Sum64String(token)) * prime
}

// run passes state through layers [from, to) of a version.
func run(state uint64, from, to int32, version string) uint64 {
	v := xxhash.Sum64String(version)
	for l := from; l < to; l++ {
		state = (state ^ v ^ uint64(l+1)) * prime
		state ^= state >> 29
	}
	return state
}

// word returns a token; like most tokens it brings its own leading space.
func word(state uint64) string {
	return " " + words[state%uint64(len(words))]
}

// length returns how many tokens the whole answer to prompt has, at most limit.
func length(prompt string, limit int64) (int64, string) {
	n := int64(shortest + xxhash.Sum64String(prompt)%spread)
	if n > limit {
		return limit, "length"
	}
	return n, "stop"
}

// Text returns the answer of the whole model, token by token.
func Text(prompt, version string, layers int32, limit int64) []string {
	n, _ := length(prompt, limit)
	tokens := make([]string, 0, n)
	state := seed(prompt, nil)
	for range n {
		t := word(run(state, 0, layers, version))
		tokens = append(tokens, t)
		state = extend(state, t)
	}
	return tokens
}

// stageOf returns what the engine says of itself in a chain.
func stageOf(s messenger.EngineState) messenger.EngineStage {
	return messenger.EngineStage{
		Endpoint:    s.Endpoint,
		Incarnation: s.Incarnation,
		From:        s.From,
		To:          s.To,
		Version:     s.Version,
	}
}
