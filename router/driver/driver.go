// Package driver communicates with model engines. Engine is the small interface that
// an adapter for another engine would implement; Client implements it for the protocol
// of the stand-in engine.
package driver

import (
	"context"

	"github.com/pkg/errors"

	"heatherhold.dev/core/identifier"
)

// Errors of a request to an engine. After ErrRefused or ErrNotReached nothing ran;
// after ErrLost something may have run.
var (
	ErrRefused    = errors.New("engine refused the request")
	ErrNotReached = errors.New("connection to the engine could not be opened")
	ErrLost       = errors.New("engine failed or its connection was lost")
	ErrNoProgress = errors.New("engine sent no data within the time limit")
	// ErrStaleFence reports that an engine refused an order because of an old fencing
	// number.
	ErrStaleFence = errors.New("engine has accepted a newer order")
)

// StreamRequest is one request to the engines of a chain.
type StreamRequest struct {
	Request identifier.Request
	Prompt  string
	// Generated holds the tokens that are already generated; the engine continues
	// after them.
	Generated []string
	MaxTokens identifier.Tokens
	Priority  int
	Chain     []identifier.Stage
}

// Frame is one message of a stream.
type Frame struct {
	// RequestMatches is set if the frame carries the ID of the stream's own request.
	RequestMatches bool
	Index          int64
	Token          string
	// StampsMatch is set if the frame's stamps show that exactly the chain's stages
	// ran, in order.
	StampsMatch bool
	// Finish is the finish reason. It is set only on the last frame.
	Finish string
	// Leaving lists the endpoints of the chain that announced that they are leaving.
	Leaving []identifier.Endpoint
	// EngineError is set if the engine ends the stream with an error. It names the
	// endpoint at fault if the engine can determine it.
	EngineError string
}

// Stream is a response in progress. Next blocks until there is a frame or an error.
type Stream interface {
	Next() (Frame, error)
	Close() error
}

// State is an engine's report of its own state.
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

// Order is an instruction to an engine to load a version's layers.
type Order struct {
	Fence   identifier.Fence
	Version identifier.Version
	From    identifier.Layer
	To      identifier.Layer
}

// Engine is the interface to all engines of one protocol.
type Engine interface {
	Open(ctx context.Context, r StreamRequest) (Stream, error)
	State(ctx context.Context, address string) (State, error)
	Order(ctx context.Context, address string, o Order) (State, error)
	// CloseIdle closes the idle connections to address. It is called when a connection
	// stopped responding.
	CloseIdle(address string)
}
