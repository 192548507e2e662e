package messenger

// The JSON messages of the model engines' protocol.

// EngineStage is one stage of a chain as engines name it.
type EngineStage struct {
	Endpoint    string `json:"endpoint"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	From        int32  `json:"from"`
	To          int32  `json:"to"`
	Version     string `json:"version"`
}

// EngineStream asks the first stage of a chain for the tokens of one request.
type EngineStream struct {
	Request string `json:"request"`
	Prompt  string `json:"prompt"`
	// Tokens are those that the caller holds already; generation goes on after them.
	Tokens    []string      `json:"tokens,omitempty"`
	MaxTokens int64         `json:"max-tokens"`
	Priority  int           `json:"priority"`
	Chain     []EngineStage `json:"chain"`
}

// EngineFrame is one line of the answer: a token, or the end.
type EngineFrame struct {
	Request string `json:"request"`
	Index   int64  `json:"index"`
	Token   string `json:"token,omitempty"`
	// Stamps name the stages that ran, in order, as Stamp writes them.
	Stamps []string `json:"stamps,omitempty"`
	// Finish is set on the last frame alone: "stop" or "length".
	Finish string `json:"finish,omitempty"`
	// Leaving names stages of the chain that announced that they leave.
	Leaving []string `json:"leaving,omitempty"`
	// Error is set where the stream can't go on.
	Error string `json:"error,omitempty"`
}

// EngineStep carries one token's state to the next stage of a chain.
type EngineStep struct {
	Request string        `json:"request"`
	State   uint64        `json:"state"`
	Chain   []EngineStage `json:"chain"`
}

// EngineStepped is what the rest of the chain made of a step.
type EngineStepped struct {
	State   uint64   `json:"state"`
	Stamps  []string `json:"stamps"`
	Leaving []string `json:"leaving,omitempty"`
}

// EngineState is an engine's report of itself; load lags.
type EngineState struct {
	Endpoint    string `json:"endpoint"`
	Incarnation uint64 `json:"incarnation"`
	Version     string `json:"version"`
	From        int32  `json:"from"`
	To          int32  `json:"to"`
	Accelerator string `json:"accelerator"`
	// Slots is how many streams the engine batches at its target speed.
	Slots int `json:"slots"`
	// TokenMicros is the time of one token at that speed, in microseconds.
	TokenMicros int64 `json:"token-micros"`
	// PrefillMicros is the time of one prompt token, in microseconds.
	PrefillMicros int64 `json:"prefill-micros"`
	Running       int   `json:"running"`
	Leaving       bool  `json:"leaving"`
	// Fence is the highest fencing number that the engine has taken an order with.
	Fence uint64 `json:"fence"`
}

// EngineOrder tells an engine what to hold.
type EngineOrder struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"`
	From    int32  `json:"from"`
	To      int32  `json:"to"`
}

// EngineError is the body of an engine's refusal; nothing ran.
type EngineError struct {
	Error string `json:"error"`
}
