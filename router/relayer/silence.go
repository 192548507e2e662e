package relayer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
)

const (
	// lookInterval is how often running streams are looked at.
	lookInterval = 30 * time.Millisecond
	// silencePart is the part of the longest pause that is on time, or of the
	// target for the first event, after which a stream counts as silent.
	silencePart = 0.45
	// minSilence is the shortest silence that counts.
	minSilence = 60 * time.Millisecond
	// probeTimeout is the longest wait for an endpoint's report.
	probeTimeout = 60 * time.Millisecond
	// probePause is how long an endpoint that has answered is not asked again;
	// it doubles while the streams through it stay silent, up to probeLimit.
	probePause = 300 * time.Millisecond
	probeLimit = 2 * time.Second
	// slowStreams is how many streams through an endpoint must be silent for it
	// to be suspected although others move.
	slowStreams = 3
	// slowPace is how many times as long as it should an endpoint takes that is
	// no better than a dead one.
	slowPace = 4
	// failPause is for how long an endpoint that was taken as dead is not
	// looked at again.
	failPause = 500 * time.Millisecond
)

// Watch finds the endpoints that hold streams up, until ctx ends. An endpoint
// is suspected when every stream through it is silent, or most of several. It is
// taken as dead when it does not answer and they all still are, or says that it is
// slow and most still are: then the streams are moved.
func (x *Relayer) Watch(ctx context.Context) error {
	w := &watch{
		relayer: x,
		asked:   make(map[identifier.Life]asked),
	}
	t := time.NewTicker(lookInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			w.look(ctx, now)
		}
	}
}

// watch is the state of Watch.
type watch struct {
	relayer *Relayer
	asked   map[identifier.Life]asked
}

// asked says when an endpoint may be asked again.
type asked struct {
	next  time.Time
	pause time.Duration
}

// evidence is what the streams through one endpoint show.
type evidence struct {
	stage  identifier.Stage
	silent int
	moving int
}

// suspect reports whether the endpoint may be dead, since nothing moves through
// it, or slow, since most streams are late.
func (e *evidence) suspect() bool {
	if e == nil || e.silent == 0 {
		return false
	}
	return e.moving == 0 || (e.silent >= slowStreams && e.silent >= e.moving)
}

// look asks the endpoints whose streams are all silent.
func (w *watch) look(ctx context.Context, now time.Time) {
	found := w.relayer.evidence(now)
	suspects := w.suspects(now, found)
	if len(suspects) == 0 {
		return
	}
	reports := w.ask(ctx, suspects)
	after := w.relayer.evidence(time.Now())
	for i, s := range suspects {
		why := reports[i].fault(after[s.Life])
		if why == "" {
			continue
		}
		w.asked[s.Life] = asked{next: now.Add(failPause)}
		w.relayer.fail(ctx, s.Life, why)
		return
	}
	for _, r := range reports {
		w.relayer.blame(ctx, r.report)
	}
}

// suspects returns the endpoints that may be dead or slow and may be asked now,
// and forgets the others.
func (w *watch) suspects(now time.Time, found map[identifier.Life]*evidence) []identifier.Stage {
	for l := range w.asked {
		if !found[l].suspect() {
			delete(w.asked, l)
		}
	}
	var out []identifier.Stage
	for l, e := range found {
		if !e.suspect() || now.Before(w.asked[l].next) {
			continue
		}
		pause := min(max(2*w.asked[l].pause, probePause), probeLimit)
		w.asked[l] = asked{
			next:  now.Add(pause),
			pause: pause,
		}
		out = append(out, e.stage)
	}
	return out
}

// heard is an endpoint's answer; err is set if there was none.
type heard struct {
	report director.Report
	err    error
}

// fault says what is wrong with an endpoint; empty if nothing is. One that does
// not answer is not blamed while a stream through it moves.
func (h heard) fault(e *evidence) string {
	switch {
	case h.err != nil && e != nil && e.silent > 0 && e.moving == 0:
		return "does not answer"
	case h.err == nil && h.report.Pace >= slowPace && e.suspect():
		return "is slow"
	}
	return ""
}

// ask asks all stages at once.
func (w *watch) ask(ctx context.Context, stages []identifier.Stage) []heard {
	out := make([]heard, len(stages))
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var group errgroup.Group
	for i, s := range stages {
		group.Go(func() error {
			out[i].report, out[i].err = w.relayer.Orders.Report(ctx, s.Address)
			return nil
		})
	}
	// A stage that doesn't answer has its error in its own place.
	_ = group.Wait()
	return out
}

// evidence counts, for each endpoint, the streams through it that are silent
// and those that move.
func (x *Relayer) evidence(now time.Time) map[identifier.Life]*evidence {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make(map[identifier.Life]*evidence)
	for a := range x.running {
		state := a.state(now)
		if state == unknown {
			continue
		}
		for _, s := range a.chain() {
			e, ok := out[s.Life]
			if !ok {
				e = &evidence{stage: s}
				out[s.Life] = e
			}
			if state == silent {
				e.silent++
			} else {
				e.moving++
			}
		}
	}
	return out
}

// state is what a stream shows of its chain.
type state int

const (
	unknown state = iota
	silent
	moving
)

// state returns whether the stream moves at now. One that waits for its first
// event shows nothing for a while: its prompt is being read.
func (a *attempt) state(now time.Time) state {
	route := a.stream.job.Route
	latest := a.latest.Load()
	if latest == nil {
		if now.Sub(a.begun) > limit(route.Target) {
			return silent
		}
		return unknown
	}
	if now.Sub(*latest) > limit(route.Gap) {
		return silent
	}
	return moving
}

func limit(target time.Duration) time.Duration {
	return max(time.Duration(silencePart*float64(target)), minSilence)
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

// attempts returns the running attempts for which f holds.
func (x *Relayer) attempts(f func(*attempt) bool) []*attempt {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []*attempt
	for a := range x.running {
		if f(a) {
			out = append(out, a)
		}
	}
	return out
}

// uses reports whether the attempt's chain has the life.
func (a *attempt) uses(l identifier.Life) bool {
	for _, s := range a.chain() {
		if s.Life == l {
			return true
		}
	}
	return false
}

// fail moves every attempt whose chain has the life to another chain, or ends it
// so that it is tried anew.
func (x *Relayer) fail(ctx context.Context, l identifier.Life, detail string) {
	attempts := x.attempts(func(a *attempt) bool { return a.uses(l) })
	x.Log.WithField("endpoint", l.Endpoint).WithField("reason", detail).WithField("streams", len(attempts)).Warn("endpoint given up for its streams")
	x.moveAll(ctx, attempts, &stageError{
		life:   l,
		detail: detail,
	})
}

// blame moves the attempts that an endpoint reports as held up by another stage.
func (x *Relayer) blame(ctx context.Context, r director.Report) {
	for id, address := range r.Stalled {
		attempts := x.attempts(func(a *attempt) bool { return a.stream.job.Request.ID == id })
		if len(attempts) == 0 {
			continue
		}
		l := stageAt(attempts[0].chain(), address).Life
		x.Log.WithField("endpoint", l.Endpoint).WithField("request", id).Warn("endpoint holds a stream up")
		x.moveAll(ctx, attempts, &stageError{
			life:   l,
			detail: "holds the stream up",
		})
	}
}

func (x *Relayer) moveAll(ctx context.Context, attempts []*attempt, cause *stageError) {
	var group errgroup.Group
	for _, a := range attempts {
		group.Go(func() error {
			a.move(ctx, cause)
			return nil
		})
	}
	// Attempts that can't be moved are ended; there is no other error.
	_ = group.Wait()
}

// stageAt returns the chain's stage with the address, or the first.
func stageAt(chain []identifier.Stage, address string) identifier.Stage {
	for _, s := range chain {
		if s.Address == address {
			return s
		}
	}
	return chain[0]
}
