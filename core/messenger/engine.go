package messenger

// The JSON messages of the model engines' protocol.

// EngineStage is one stage of a chain in the engines' protocol.
type EngineStage struct {
	Endpoint    string `json:"endpoint"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	From        int32  `json:"from"`
	To          int32  `json:"to"`
	Version     string `json:"version"`
}

// EngineStream requests the tokens of one request from the first stage of a chain.
type EngineStream struct {
	Request string `json:"request"`
	Prompt  string `json:"prompt"`
	// Tokens are the tokens that the caller already has; generation continues
	// after them.
	Tokens    []string      `json:"tokens,omitempty"`
	MaxTokens int64         `json:"max-tokens"`
	Priority  int           `json:"priority"`
	Chain     []EngineStage `json:"chain"`
}

// EngineFrame is one line of the response: a token or the end of the stream.
type EngineFrame struct {
	Request string `json:"request"`
	Index   int64  `json:"index"`
	Token   string `json:"token,omitempty"`
	// Stamps identify the stages that ran, in order, in the format of Stamp.
	Stamps []string `json:"stamps,omitempty"`
	// Finish is set only on the last frame: "stop" or "length".
	Finish string `json:"finish,omitempty"`
	// Leaving names the stages of the chain that have announced that they are
	// leaving.
	Leaving []string `json:"leaving,omitempty"`
	// Error is set if the stream can't continue.
	Error string `json:"error,omitempty"`
}

// EngineStep passes one token's state to the next stage of a chain.
type EngineStep struct {
	Request string        `json:"request"`
	State   uint64        `json:"state"`
	Chain   []EngineStage `json:"chain"`
}

// EngineStepReply is the reply to an EngineStep: the result of the rest of the chain.
type EngineStepReply struct {
	State   uint64   `json:"state"`
	Stamps  []string `json:"stamps"`
	Leaving []string `json:"leaving,omitempty"`
}

// EngineState is an engine's report of its own state; the load that it reports
// lags behind the actual load.
type EngineState struct {
	Endpoint    string `json:"endpoint"`
	Incarnation uint64 `json:"incarnation"`
	Version     string `json:"version"`
	From        int32  `json:"from"`
	To          int32  `json:"to"`
	Accelerator string `json:"accelerator"`
	// Slots is how many streams the engine can batch at its target speed.
	Slots int `json:"slots"`
	// TokenMicros is the time of one token at that speed, in microseconds.
	TokenMicros int64 `json:"token-micros"`
	// PrefillMicros is the time of one prompt token, in microseconds.
	PrefillMicros int64 `json:"prefill-micros"`
	Running       int   `json:"running"`
	Leaving       bool  `json:"leaving"`
	// Fence is the highest fencing token of the orders that the engine has accepted.
	Fence uint64 `json:"fence"`
}

// EngineOrder orders an engine to hold a range of layers of a version.
type EngineOrder struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"`
	From    int32  `json:"from"`
	To      int32  `json:"to"`
}

// EngineError is the body of an engine's refusal; nothing was run.
type EngineError struct {
	Error string `json:"error"`
}
