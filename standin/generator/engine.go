package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"heatherhold.dev/core/messenger"
)

const bodyLimit = 8 << 20 // bytes

// Faults are the faults that an engine injects; zero fields have no effect. Tokens
// and frames are counted from 1.
type Faults struct {
	// BreakAt breaks the connection before the n-th token, once for each prompt.
	BreakAt int64 `json:"break-at"`
	// SilentAt sends nothing from the n-th token on but keeps the connection open,
	// once for each prompt.
	SilentAt int64 `json:"silent-at"`
	// DoubleEvery sends every n-th frame twice.
	DoubleEvery int64 `json:"double-every"`
	// SwapEvery sends every n-th frame after its successor.
	SwapEvery int64 `json:"swap-every"`
	// CrossEvery sends a frame of another request before every n-th frame.
	CrossEvery int64 `json:"cross-every"`
	// DropAt omits the n-th token, once for each prompt.
	DropAt int64 `json:"drop-at"`
	// SkipLayer skips the engine's first layer; the stamp names the layers that ran.
	SkipLayer bool `json:"skip-layer"`
	// OtherVersion runs another version of the weights; the stamp names that version.
	OtherVersion bool `json:"other-version"`
	// EndEarlyAt ends the response cleanly before the n-th token, without a finish
	// frame, once for each prompt.
	EndEarlyAt int64 `json:"end-early-at"`
	// IgnoreStateRequests never responds to state requests.
	IgnoreStateRequests bool `json:"state-silent"`
	// Busy refuses new streams before any layer runs.
	Busy bool `json:"busy"`
}

// Engine is a test double of a model engine. Set the exported fields before the call
// of Handler.
type Engine struct {
	// State is the engine's initial state.
	State messenger.EngineState
	// ChecksFence makes the engine refuse orders with an old fencing token.
	ChecksFence bool
	// ReloadTime has no effect: orders are executed at once.
	ReloadTime time.Duration

	mu        sync.Mutex
	state     messenger.EngineState
	faults    Faults
	triggered map[string]bool
	running   map[string]context.CancelFunc
	started   map[string]int
	// disruptiveOrders counts the orders that were accepted while streams were running.
	disruptiveOrders int
	client           http.Client
}

// Handler initializes the engine and returns its HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.state = e.State
	e.triggered = make(map[string]bool)
	e.running = make(map[string]context.CancelFunc)
	e.started = make(map[string]int)
	e.client.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	r := mux.NewRouter()
	r.HandleFunc("/v1/state", e.report).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams", e.stream).Methods(http.MethodPost)
	r.HandleFunc("/v1/step", e.step).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", e.order).Methods(http.MethodPost)
	r.HandleFunc("/v1/leave", e.leave).Methods(http.MethodPost)
	r.HandleFunc("/v1/started", e.counts).Methods(http.MethodGet)
	r.HandleFunc("/engine-faults", e.setFaults).Methods(http.MethodPut)
	return r
}

func (e *Engine) snapshot() (messenger.EngineState, Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Running = len(e.running)
	return s, e.faults
}

func (e *Engine) report(w http.ResponseWriter, r *http.Request) {
	s, faults := e.snapshot()
	if faults.IgnoreStateRequests {
		<-r.Context().Done()
		return
	}
	writeJSON(w, s)
}

// holdsStage reports whether an engine in state s has the endpoint, incarnation,
// layers and version of the stage want of a chain.
func holdsStage(s messenger.EngineState, want messenger.EngineStage) bool {
	return stageOf(s).Stamp() == want.Stamp()
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	var req messenger.EngineStream
	if !readJSON(w, r, &req) {
		return
	}
	s, faults := e.snapshot()
	if reason := refusal(s, faults, req); reason != "" {
		refuse(w, reason)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer e.addRunning(req.Request, cancel)()
	out := &writer{
		engine:  e,
		w:       w,
		request: req.Request,
		prompt:  req.Prompt,
	}
	if err := e.generate(ctx, req, out); err != nil {
		out.send(messenger.EngineFrame{Error: err.Error()})
	}
}

// refusal returns the reason for refusing a stream; empty if it is accepted.
func refusal(s messenger.EngineState, faults Faults, req messenger.EngineStream) string {
	switch {
	case len(req.Chain) == 0 || !holdsStage(s, req.Chain[0]):
		return "wrong-stage"
	case s.Leaving:
		return "leaving"
	case faults.Busy:
		return "busy"
	}
	return ""
}

// addRunning adds a running stream and counts its start. The function that it
// returns removes the stream.
func (e *Engine) addRunning(request string, cancel context.CancelFunc) func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[request] = cancel
	e.started[request]++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, request)
	}
}

// generate sends the tokens that follow req.Tokens, and the finish frame.
func (e *Engine) generate(ctx context.Context, req messenger.EngineStream, out *writer) error {
	total, finish := outputLength(req.Prompt, req.MaxTokens)
	state := initialState(req.Prompt, req.Tokens)
	s, _ := e.snapshot()
	sleep(ctx, time.Duration(s.PrefillMicros*int64(len(req.Prompt)/4))*time.Microsecond)
	for i := int64(len(req.Tokens)); i < total; i++ {
		result, err := e.runStep(ctx, messenger.EngineStep{
			Request: req.Request,
			State:   state,
			Chain:   req.Chain,
		})
		if err != nil {
			return err
		}
		token := tokenFor(result.State)
		state = nextState(state, token)
		f := messenger.EngineFrame{
			Index:   i,
			Token:   token,
			Stamps:  result.Stamps,
			Leaving: result.Leaving,
		}
		if !out.token(ctx, f) {
			return nil
		}
	}
	out.finish(messenger.EngineFrame{
		Index:  total,
		Finish: finish,
	})
	return nil
}

// runStep runs this engine's layers for one token and sends the state to the next
// stage, if there is one. It returns the state after the last stage and the stamps
// of all stages that ran.
func (e *Engine) runStep(ctx context.Context, step messenger.EngineStep) (messenger.EngineStepReply, error) {
	s, faults := e.snapshot()
	if !holdsStage(s, step.Chain[0]) {
		return messenger.EngineStepReply{}, errors.New("wrong-stage")
	}
	if !sleep(ctx, time.Duration(s.TokenMicros)*time.Microsecond) {
		return messenger.EngineStepReply{}, errors.New("cancelled")
	}
	if faults.SkipLayer {
		s.From++
	}
	if faults.OtherVersion {
		s.Version += "-other"
	}
	stamp := stageOf(s).Stamp()
	out := messenger.EngineStepReply{State: runLayers(step.State, s.From, s.To, s.Version)}
	if len(step.Chain) > 1 {
		next, err := e.sendStep(ctx, messenger.EngineStep{
			Request: step.Request,
			State:   out.State,
			Chain:   step.Chain[1:],
		})
		if err != nil {
			return messenger.EngineStepReply{}, err
		}
		out = next
	}
	out.Stamps = append([]string{stamp}, out.Stamps...)
	if s.Leaving {
		out.Leaving = append(out.Leaving, s.Endpoint)
	}
	return out, nil
}

// sendStep sends a step to the first stage of its chain and returns the result.
func (e *Engine) sendStep(ctx context.Context, step messenger.EngineStep) (messenger.EngineStepReply, error) {
	var out messenger.EngineStepReply
	body, err := json.Marshal(step)
	if err != nil {
		return out, errors.Wrap(err, "encode step")
	}
	url := "http://" + step.Chain[0].Address + "/v1/step"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return out, errors.Wrap(err, "build step")
	}
	res, err := e.client.Do(req)
	if err != nil {
		return out, errors.New("stage-lost " + step.Chain[0].Endpoint)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return out, errors.New("stage-refused " + step.Chain[0].Endpoint)
	}
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		return out, errors.New("stage-lost " + step.Chain[0].Endpoint)
	}
	return out, nil
}

func (e *Engine) step(w http.ResponseWriter, r *http.Request) {
	var step messenger.EngineStep
	if !readJSON(w, r, &step) {
		return
	}
	if len(step.Chain) == 0 {
		refuse(w, "wrong-stage")
		return
	}
	out, err := e.runStep(r.Context(), step)
	if err != nil {
		refuse(w, err.Error())
		return
	}
	writeJSON(w, out)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o messenger.EngineOrder
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && o.Fence < e.state.Fence {
		refuse(w, "old-fence")
		return
	}
	if len(e.running) > 0 {
		e.disruptiveOrders++
	}
	e.state.Fence = max(e.state.Fence, o.Fence)
	e.state.Version = o.Version
	e.state.From = o.From
	e.state.To = o.To
	writeJSON(w, e.state)
}

func (e *Engine) leave(http.ResponseWriter, *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Leaving = true
}

// counts responds with the number of times that each request was started here.
func (e *Engine) counts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.started)
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	e.SetFaults(f)
}

// SetFaults replaces the faults that are injected.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// triggerOnce reports whether the named fault, set for the at-th token, is to be
// injected at index. It returns true once for each prompt.
func (e *Engine) triggerOnce(name, prompt string, at, index int64) bool {
	if at == 0 || index+1 < at {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := name + " " + prompt
	if e.triggered[key] {
		return false
	}
	e.triggered[key] = true
	return true
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// readJSON decodes the request's body into v. If it fails it responds with status
// 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// refuse responds with status 409 and the reason.
func refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	writeJSON(w, messenger.EngineError{Error: reason})
}

func writeJSON(w http.ResponseWriter, v any) {
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
