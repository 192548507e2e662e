package relayer

import (
	"context"
	"time"

	"heatherhold.dev/core/identifier"
)

const (
	// reportTimeout is the longest wait for an endpoint's report.
	reportTimeout = 150 * time.Millisecond
	// patienceGrowth is how much longer the next silence may be after an
	// endpoint said that the request moves.
	patienceGrowth = 2
	// patienceLimit is the longest silence after which an endpoint is asked again.
	patienceLimit = time.Second
)

// watcher asks the first stage what holds a stream up, each time that it has
// been silent for too long.
type watcher struct {
	attempt  *attempt
	ctx      context.Context
	timer    *time.Timer
	patience time.Duration
}

// watcher returns a watcher that is not yet running.
func (a *attempt) watcher(ctx context.Context) *watcher {
	return &watcher{
		attempt: a,
		ctx:     ctx,
	}
}

// watch starts a watcher for one silence and returns what ends it.
func (a *attempt) watch(ctx context.Context, patience time.Duration) func() {
	w := a.watcher(ctx)
	w.reset(patience)
	return w.stop
}

// reset begins a new silence.
func (w *watcher) reset(patience time.Duration) {
	w.patience = max(patience, minPatience)
	if w.timer == nil {
		w.timer = time.AfterFunc(w.patience, w.ask)
		return
	}
	w.timer.Reset(w.patience)
}

// minPatience is the shortest silence that counts.
const minPatience = 50 * time.Millisecond

// stop ends the watch.
func (w *watcher) stop() {
	w.timer.Stop()
}

// ask finds the stage at fault and ends the attempts through it.
func (w *watcher) ask() {
	if w.ctx.Err() != nil {
		return
	}
	a := w.attempt
	x := a.stream.relayer
	ctx, cancel := context.WithTimeout(w.ctx, reportTimeout)
	defer cancel()
	first := a.ticket.Chain[0]
	report, err := x.Orders.Report(ctx, first.Address)
	if w.ctx.Err() != nil {
		return
	}
	if err != nil {
		x.fail(first.Life, "does not answer")
		return
	}
	if at, ok := report.Stalled[a.stream.job.Request.ID]; ok {
		x.fail(a.at(at), "holds the request up")
		return
	}
	w.patience = min(w.patience*patienceGrowth, patienceLimit)
	w.timer.Reset(w.patience)
}

func (x *Relayer) enter(a *attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running == nil {
		x.running = make(map[*attempt]bool)
	}
	x.running[a] = true
}

func (x *Relayer) leave(a *attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.running, a)
}

// fail ends every attempt whose chain has the life.
func (x *Relayer) fail(l identifier.Life, detail string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for a := range x.running {
		for _, s := range a.ticket.Chain {
			if s.Life == l {
				a.cancel(&stageError{
					life:   l,
					detail: detail,
				})
				n++
				break
			}
		}
	}
	x.Log.WithField("endpoint", l.Endpoint).WithField("reason", detail).WithField("streams", n).Warn("endpoint taken as dead for its streams")
}
