// Package generator is a test double of a model engine that holds a range of
// layers.
//
// Each token depends on the prompt and the tokens before it, and is correct only if
// every layer ran exactly once and in order. ExpectedTokens returns the output of
// the complete model, with which tests compare.
package generator

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"heatherhold.dev/core/messenger"
)

var vocabulary = strings.Fields(`heather glass plate river stone bell lantern oak
salt harbour quiet morning bronze linen meadow ember north tide willow amber
garden copper light valley pine silver thread window orchard winter hill song`)

const (
	// minTokens is the length of the shortest output, and lengthRange the number of
	// different lengths, both in tokens.
	minTokens   = 8
	lengthRange = 120
	// multiplier is 2^64 divided by the golden ratio, as in Fibonacci hashing.
	multiplier = 0x9E3779B97F4A7C15
)

// initialState returns the state that enters layer 0 for the token that follows
// tokens.
func initialState(prompt string, tokens []string) uint64 {
	d := xxhash.New()
	// Writing to a hash never returns an error.
	_, _ = d.WriteString(prompt)
	state := d.Sum64()
	for _, t := range tokens {
		state = nextState(state, t)
	}
	return state
}

// nextState returns the state that enters layer 0 for the token that follows token;
// state entered it for token itself.
func nextState(state uint64, token string) uint64 {
	return (state ^ xxhash.Sum64String(token)) * multiplier
}

// runLayers returns the result of running state through the layers [from, to) of
// the given version of the weights.
func runLayers(state uint64, from, to int32, version string) uint64 {
	v := xxhash.Sum64String(version)
	for l := from; l < to; l++ {
		state = (state ^ v ^ uint64(l+1)) * multiplier
		state ^= state >> 29
	}
	return state
}

// tokenFor returns the token for the state after the last layer. Like most tokens
// of real models it starts with a space.
func tokenFor(state uint64) string {
	return " " + vocabulary[state%uint64(len(vocabulary))]
}

// outputLength returns the number of tokens of the complete output for prompt, at
// most limit, and the finish reason.
func outputLength(prompt string, limit int64) (int64, string) {
	n := int64(minTokens + xxhash.Sum64String(prompt)%lengthRange)
	if n > limit {
		return limit, "length"
	}
	return n, "stop"
}

// ExpectedTokens returns the tokens of the complete model's output for prompt.
func ExpectedTokens(prompt, version string, layers int32, limit int64) []string {
	n, _ := outputLength(prompt, limit)
	tokens := make([]string, 0, n)
	state := initialState(prompt, nil)
	for range n {
		t := tokenFor(runLayers(state, 0, layers, version))
		tokens = append(tokens, t)
		state = nextState(state, t)
	}
	return tokens
}

// stageOf returns the stage of a chain that describes an engine in state s.
func stageOf(s messenger.EngineState) messenger.EngineStage {
	return messenger.EngineStage{
		Endpoint:    s.Endpoint,
		Incarnation: s.Incarnation,
		From:        s.From,
		To:          s.To,
		Version:     s.Version,
	}
}
