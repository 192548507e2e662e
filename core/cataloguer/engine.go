package cataloguer

import (
	"time"

	"heatherhold.dev/core/identifier"
)

// Accelerator names a kind of accelerator.
type Accelerator string

// Engine describes the model engines of one service.
type Engine struct {
	// Slots is how many requests an endpoint takes as the first of a chain.
	Slots int
	// Step is the time of one token step through all layers at pace 1, and
	// PerSequence and PerThousand what each request and each thousand tokens
	// of its context add to it.
	Step        time.Duration
	PerSequence time.Duration
	PerThousand time.Duration
	// Read is the time to read one prompt token through all layers.
	Read time.Duration
	// Chunk is how many prompt tokens are read in one step.
	Chunk identifier.Tokens
	// Stride is how many steps make one event.
	Stride int
	// Layers is 0 where each endpoint holds the whole model.
	Layers identifier.Layer
	// LayerBytes is the size of one layer's weights.
	LayerBytes float64
	// ContextBytes is what one token of a request takes in all layers together.
	ContextBytes float64
	// ContextTokens is an endpoint's memory where it holds the whole model.
	ContextTokens identifier.Tokens
	// ActivationBytes is what one token sends from stage to stage.
	ActivationBytes float64
	// PipeRate is the rate between two data centres, in bytes a second; 0 if unbounded.
	PipeRate float64
	// LinkRate is the rate of an endpoint's own link, in bytes a second.
	LinkRate     float64
	Accelerators map[Accelerator]Kind
	// Model is the name of the model, and Load the time to load all its layers.
	Model string
	Load  time.Duration
	// Prompt and Answer are the usual lengths.
	Prompt identifier.Tokens
	Answer identifier.Tokens
	Delays []Delay
}

// Kind is one kind of accelerator.
type Kind struct {
	// Bytes is its memory.
	Bytes float64
	// Pace multiplies the time of steps, and Read that of reading prompts.
	Pace float64
	Read float64
}

// Delay is the one-way delay between two data centres.
type Delay struct {
	From identifier.DataCentre
	To   identifier.DataCentre
	Time time.Duration
}

// LayerLimit returns how many layers an accelerator's memory holds.
func (e *Engine) LayerLimit(a Accelerator) identifier.Layer {
	if e.LayerBytes <= 0 {
		return e.Layers
	}
	return min(identifier.Layer(e.Accelerators[a].Bytes/e.LayerBytes), e.Layers)
}

// Room returns how many tokens of requests fit beside n layers on an
// accelerator, if all of them use all n layers.
func (e *Engine) Room(a Accelerator, n identifier.Layer) float64 {
	if e.Layers == 0 {
		return float64(e.ContextTokens)
	}
	if n <= 0 || e.ContextBytes <= 0 {
		return 0
	}
	free := e.Accelerators[a].Bytes - float64(n)*e.LayerBytes
	return max(free, 0) / (e.ContextBytes * float64(n) / float64(e.Layers))
}
