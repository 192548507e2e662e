package generator

import (
	"context"
	"encoding/json"
	"net/http"

	"heatherhold.dev/core/messenger"
)

// writer writes the frames of one stream and injects the faults that are set.
type writer struct {
	engine  *Engine
	w       http.ResponseWriter
	request string
	prompt  string
	delayed *messenger.EngineFrame
}

// token sends the frame of one token and reports whether the stream continues.
func (o *writer) token(ctx context.Context, f messenger.EngineFrame) bool {
	_, faults := o.engine.snapshot()
	if o.engine.triggerOnce("break", o.prompt, faults.BreakAt, f.Index) {
		panic(http.ErrAbortHandler)
	}
	if o.engine.triggerOnce("silent", o.prompt, faults.SilentAt, f.Index) {
		<-ctx.Done()
		return false
	}
	if o.engine.triggerOnce("end", o.prompt, faults.EndEarlyAt, f.Index) {
		return false
	}
	if isNth(faults.CrossEvery, f.Index) {
		foreign := f
		foreign.Token = " stray"
		o.write("another-request", foreign)
	}
	if o.engine.triggerOnce("drop", o.prompt, faults.DropAt, f.Index) {
		return true
	}
	if isNth(faults.SwapEvery, f.Index) && o.delayed == nil {
		o.delayed = &f
		return true
	}
	o.send(f)
	if isNth(faults.DoubleEvery, f.Index) {
		o.send(f)
	}
	o.sendDelayed()
	return ctx.Err() == nil
}

func (o *writer) finish(f messenger.EngineFrame) {
	o.sendDelayed()
	o.send(f)
}

func (o *writer) sendDelayed() {
	if o.delayed == nil {
		return
	}
	f := *o.delayed
	o.delayed = nil
	o.send(f)
}

func (o *writer) send(f messenger.EngineFrame) {
	o.write(o.request, f)
}

func (o *writer) write(request string, f messenger.EngineFrame) {
	f.Request = request
	// An error means that the client has closed the connection; the request's context
	// then ends the stream.
	_ = json.NewEncoder(o.w).Encode(f)
	_ = http.NewResponseController(o.w).Flush()
}

// isNth reports whether index+1 is a multiple of every; false if every is 0.
func isNth(every, index int64) bool {
	return every > 0 && index%every == every-1
}
