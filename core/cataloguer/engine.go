package cataloguer

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// Accelerator names a kind of accelerator.
type Accelerator string

// Engine describes the model engines of one service.
type Engine struct {
	// Slots is how many requests an endpoint accepts as the first stage of a chain.
	Slots int
	// StepTime is the time of one token step through all layers at a StepFactor of 1.
	// StepTimePerSequence is the time that each request in the step adds to it, and
	// StepTimePerThousand the time that each thousand tokens of a request's context add.
	StepTime            time.Duration
	StepTimePerSequence time.Duration
	StepTimePerThousand time.Duration
	// PrefillTime is the time to process one prompt token in all layers (prefill).
	PrefillTime time.Duration
	// PrefillChunk is how many prompt tokens are processed in one step.
	PrefillChunk identifier.Tokens
	// Stride is the number of token steps for each event of the stream.
	Stride int
	// Layers is the number of layers of the model; 0 if each endpoint holds the
	// whole model.
	Layers identifier.Layer
	// LayerBytes is the size of one layer's weights.
	LayerBytes float64
	// ContextBytes is the memory for one context token of a request in all layers
	// together.
	ContextBytes float64
	// ContextTokens is how many context tokens fit into an endpoint's memory if
	// each endpoint holds the whole model.
	ContextTokens identifier.Tokens
	// ActivationBytes is the amount of data sent from stage to stage for one token.
	ActivationBytes float64
	// InterCentreBandwidth is the bandwidth between two data centres, in bytes a
	// second; 0 if unlimited.
	InterCentreBandwidth float64
	// LinkBandwidth is the bandwidth of an endpoint's own link, in bytes a second.
	LinkBandwidth float64
	Accelerators  map[Accelerator]Kind
	// Model is the name of the model, and LoadTime the time to load all its layers.
	Model    string
	LoadTime time.Duration
	// UsualPrompt and UsualOutput are the usual lengths of prompts and responses.
	UsualPrompt identifier.Tokens
	UsualOutput identifier.Tokens
	Delays      []Delay
}

// Kind is one kind of accelerator.
type Kind struct {
	// MemoryBytes is the size of its memory.
	MemoryBytes float64
	// StepFactor is the factor on the step time, and PrefillFactor the factor on the
	// time to process prompts.
	StepFactor    float64
	PrefillFactor float64
}

// Delay is the one-way delay between two data centres.
type Delay struct {
	From identifier.DataCentre
	To   identifier.DataCentre
	Time time.Duration
}

// LayerLimit returns how many layers fit into an accelerator's memory.
func (e *Engine) LayerLimit(a Accelerator) identifier.Layer {
	if e.LayerBytes <= 0 {
		return e.Layers
	}
	return min(identifier.Layer(e.Accelerators[a].MemoryBytes/e.LayerBytes), e.Layers)
}

// ContextCapacity returns how many context tokens fit into an accelerator's memory beside
// the weights of n layers, if every token uses all n layers.
func (e *Engine) ContextCapacity(a Accelerator, n identifier.Layer) float64 {
	if e.Layers == 0 {
		return float64(e.ContextTokens)
	}
	if n <= 0 || e.ContextBytes <= 0 {
		return 0
	}
	free := e.Accelerators[a].MemoryBytes - float64(n)*e.LayerBytes
	return max(free, 0) / (e.ContextBytes * float64(n) / float64(e.Layers))
}
