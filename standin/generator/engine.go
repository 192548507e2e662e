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

const maxBody = 8 << 20 // bytes

// Faults are what an engine does wrong on demand; zero fields do nothing.
type Faults struct {
	// BreakAt breaks streams before the so manyth token, once for each prompt.
	BreakAt int64 `json:"break-at"`
	// SilentAt stops answering before the so manyth token without closing, once for each prompt.
	SilentAt int64 `json:"silent-at"`
	// DoubleEvery sends every so manyth frame twice.
	DoubleEvery int64 `json:"double-every"`
	// SwapEvery sends every so manyth frame after its successor.
	SwapEvery int64 `json:"swap-every"`
	// CrossEvery sends a frame of another request before every so manyth.
	CrossEvery int64 `json:"cross-every"`
	// DropAt leaves out the so manyth token, once for each prompt.
	DropAt int64 `json:"drop-at"`
	// SkipLayer runs one layer too few, and says so in the stamp.
	SkipLayer bool `json:"skip-layer"`
	// OtherVersion runs another version, and says so in the stamp.
	OtherVersion bool `json:"other-version"`
	// EndEarlyAt closes the answer cleanly before the so manyth token, without a finish frame.
	EndEarlyAt int64 `json:"end-early-at"`
	// StateSilent leaves state requests without an answer.
	StateSilent bool `json:"state-silent"`
	// Busy refuses new streams before anything runs.
	Busy bool `json:"busy"`
}

// Engine is one model engine.
type Engine struct {
	// State is what the engine holds at the start.
	State messenger.EngineState
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// ReloadTime is how long a load order takes.
	ReloadTime time.Duration

	mu      sync.Mutex
	state   messenger.EngineState
	faults  Faults
	tripped map[string]bool
	running map[string]context.CancelFunc
	started map[string]int
	spoiled int
	client  http.Client
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.state = e.State
	e.tripped = make(map[string]bool)
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
	if faults.StateSilent {
		<-r.Context().Done()
		return
	}
	answer(w, s)
}

// fits says whether the engine holds what a chain's stage names.
func fits(s messenger.EngineState, want messenger.EngineStage) bool {
	return stageOf(s).Stamp() == want.Stamp()
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	var req messenger.EngineStream
	if !read(w, r, &req) {
		return
	}
	s, faults := e.snapshot()
	if why := refusal(s, faults, req); why != "" {
		refuse(w, why)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer e.enter(req.Request, cancel)()
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

func refusal(s messenger.EngineState, faults Faults, req messenger.EngineStream) string {
	switch {
	case len(req.Chain) == 0 || !fits(s, req.Chain[0]):
		return "wrong-stage"
	case s.Leaving:
		return "leaving"
	case faults.Busy:
		return "busy"
	}
	return ""
}

// enter notes a running stream and returns what ends the note.
func (e *Engine) enter(request string, cancel context.CancelFunc) func() {
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

func (e *Engine) generate(ctx context.Context, req messenger.EngineStream, out *writer) error {
	n, finish := length(req.Prompt, req.MaxTokens)
	state := seed(req.Prompt, req.Tokens)
	s, _ := e.snapshot()
	sleep(ctx, time.Duration(s.PrefillMicros*int64(len(req.Prompt)/4))*time.Microsecond)
	for i := int64(len(req.Tokens)); i < n; i++ {
		stepped, err := e.pass(ctx, messenger.EngineStep{
			Request: req.Request,
			State:   state,
			Chain:   req.Chain,
		})
		if err != nil {
			return err
		}
		t := word(stepped.State)
		state = extend(state, t)
		f := messenger.EngineFrame{
			Index:   i,
			Token:   t,
			Stamps:  stepped.Stamps,
			Leaving: stepped.Leaving,
		}
		if !out.token(ctx, f) {
			return nil
		}
	}
	out.finish(messenger.EngineFrame{
		Index:  n,
		Finish: finish,
	})
	return nil
}

// pass runs this engine's layers and hands the state to the rest of the chain.
func (e *Engine) pass(ctx context.Context, step messenger.EngineStep) (messenger.EngineStepped, error) {
	s, faults := e.snapshot()
	if !fits(s, step.Chain[0]) {
		return messenger.EngineStepped{}, errors.New("wrong-stage")
	}
	if !sleep(ctx, time.Duration(s.TokenMicros)*time.Microsecond) {
		return messenger.EngineStepped{}, errors.New("cancelled")
	}
	if faults.SkipLayer {
		s.From++
	}
	if faults.OtherVersion {
		s.Version += "-other"
	}
	stamp := stageOf(s).Stamp()
	out := messenger.EngineStepped{State: run(step.State, s.From, s.To, s.Version)}
	if len(step.Chain) > 1 {
		next, err := e.forward(ctx, messenger.EngineStep{
			Request: step.Request,
			State:   out.State,
			Chain:   step.Chain[1:],
		})
		if err != nil {
			return messenger.EngineStepped{}, err
		}
		out = next
	}
	out.Stamps = append([]string{stamp}, out.Stamps...)
	if s.Leaving {
		out.Leaving = append(out.Leaving, s.Endpoint)
	}
	return out, nil
}

func (e *Engine) forward(ctx context.Context, step messenger.EngineStep) (messenger.EngineStepped, error) {
	var out messenger.EngineStepped
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
	if !read(w, r, &step) {
		return
	}
	if len(step.Chain) == 0 {
		refuse(w, "wrong-stage")
		return
	}
	out, err := e.pass(r.Context(), step)
	if err != nil {
		refuse(w, err.Error())
		return
	}
	answer(w, out)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o messenger.EngineOrder
	if !read(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && o.Fence < e.state.Fence {
		refuse(w, "old-fence")
		return
	}
	if len(e.running) > 0 {
		e.spoiled++
	}
	e.state.Fence = max(e.state.Fence, o.Fence)
	e.state.Version = o.Version
	e.state.From = o.From
	e.state.To = o.To
	answer(w, e.state)
}

func (e *Engine) leave(http.ResponseWriter, *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Leaving = true
}

// counts answers how often each request was started here.
func (e *Engine) counts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, e.started)
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !read(w, r, &f) {
		return
	}
	e.SetFaults(f)
}

// SetFaults switches faults on, in place of those before.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// trip says whether a fault is due at index, once for each prompt.
func (e *Engine) trip(name, prompt string, at, index int64) bool {
	if at == 0 || index+1 < at {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := name + " " + prompt
	if e.tripped[key] {
		return false
	}
	e.tripped[key] = true
	return true
}

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

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func refuse(w http.ResponseWriter, why string) {
	w.WriteHeader(http.StatusConflict)
	answer(w, messenger.EngineError{Error: why})
}

func answer(w http.ResponseWriter, v any) {
	// The asker is gone if this fails.
	_ = json.NewEncoder(w).Encode(v)
}
