package generator

import (
	"context"
	"encoding/json"
	"net/http"

	"heatherhold.dev/core/messenger"
)

// writer sends frames, with the faults that are switched on.
type writer struct {
	engine  *Engine
	w       http.ResponseWriter
	request string
	prompt  string
	held    *messenger.EngineFrame
}

// token sends one token and says whether the stream goes on.
func (o *writer) token(ctx context.Context, f messenger.EngineFrame) bool {
	_, faults := o.engine.snapshot()
	if o.engine.trip("break", o.prompt, faults.BreakAt, f.Index) {
		panic(http.ErrAbortHandler)
	}
	if o.engine.trip("silent", o.prompt, faults.SilentAt, f.Index) {
		<-ctx.Done()
		return false
	}
	if o.engine.trip("end", o.prompt, faults.EndEarlyAt, f.Index) {
		return false
	}
	if due(faults.CrossEvery, f.Index) {
		stray := f
		stray.Token = " stray"
		o.write("another-request", stray)
	}
	if o.engine.trip("drop", o.prompt, faults.DropAt, f.Index) {
		return true
	}
	if due(faults.SwapEvery, f.Index) && o.held == nil {
		o.held = &f
		return true
	}
	o.send(f)
	if due(faults.DoubleEvery, f.Index) {
		o.send(f)
	}
	o.flushHeld()
	return ctx.Err() == nil
}

func (o *writer) finish(f messenger.EngineFrame) {
	o.flushHeld()
	o.send(f)
}

func (o *writer) flushHeld() {
	if o.held == nil {
		return
	}
	f := *o.held
	o.held = nil
	o.send(f)
}

func (o *writer) send(f messenger.EngineFrame) {
	o.write(o.request, f)
}

func (o *writer) write(request string, f messenger.EngineFrame) {
	f.Request = request
	// The asker is gone if this fails; its context ends the stream.
	_ = json.NewEncoder(o.w).Encode(f)
	_ = http.NewResponseController(o.w).Flush()
}

func due(every, index int64) bool {
	return every > 0 && index%every == every-1
}
