// Package driver drives model engines. Engine is the narrow interface that
// another engine's adapter would fill; Client speaks the stand-in's protocol.
package driver

import (
	"context"

	"github.com/pkg/errors"

	"heatherhold.dev/core/identifier"
)

// Errors of Open. After ErrRefused or ErrNotReached nothing ran; after ErrLost
// something may have run.
var (
	ErrRefused    = errors.New("engine refused")
	ErrNotReached = errors.New("engine not reached")
	ErrLost       = errors.New("engine connection lost")
	ErrSilent     = errors.New("engine silent past its deadline")
	// ErrOldFence is an engine's refusal of an order with an old fencing number.
	ErrOldFence = errors.New("engine has taken a newer order")
)

// Work is one request for the engines of a chain.
type Work struct {
	Request   identifier.Request
	Prompt    string
	Held      []string
	MaxTokens identifier.Tokens
	Priority  int
	Chain     []identifier.Stage
}

// Frame is one message of a stream.
type Frame struct {
	// Mine is set if the frame belongs to the stream's own request.
	Mine  bool
	Index int64
	Token string
	// Stamped is set if exactly the chain's stages ran, in order.
	Stamped bool
	// Finish is set on the last frame alone.
	Finish string
	// Leaving lists endpoints of the chain that announced that they leave.
	Leaving []identifier.Endpoint
	// Failed is set where the engine ends the stream with an error; it names
	// the endpoint at fault where the engine knows it.
	Failed string
}

// Stream is a running answer. Next blocks until a frame or an error.
type Stream interface {
	Next() (Frame, error)
	Close() error
}

// State is what an engine reports of itself.
type State struct {
	identifier.Stage
	Accelerator   string
	Slots         int
	TokenMicros   int64
	PrefillMicros int64
	Running       int
	Leaving       bool
	Fence         identifier.Fence
}

// Order tells an engine what to hold.
type Order struct {
	Fence   identifier.Fence
	Version identifier.Version
	From    identifier.Layer
	To      identifier.Layer
}

// Engine is all that the router needs of a kind of engine.
type Engine interface {
	Open(ctx context.Context, w Work) (Stream, error)
	State(ctx context.Context, address string) (State, error)
	Order(ctx context.Context, address string, o Order) (State, error)
	// Forget closes every connection to address: one of them went silent.
	Forget(address string)
}
