package proxier

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/mover"
)

// turns decides when the moves of this instance's streams start. The zero value is usable.
type turns struct {
	// readings wait for the next events of streams that were moved.
	readings errgroup.Group

	mu    sync.Mutex
	queue mover.Queue[*turn]
	// estimates are the expected times of the moves of each service.
	estimates map[identifier.Service]*mover.Estimate
}

// turn is the turn of one move.
type turn struct {
	// granted is closed when the move may start.
	granted chan struct{}
	once    sync.Once
	turns   *turns
}

// add adds a move of a stream of a service; s.Expected is set here. It starts no earlier than at
// the next call of start, so that the moves that are added together start in their order.
func (t *turns) add(service identifier.Service, s mover.Stream) *turn {
	own := &turn{
		granted: make(chan struct{}),
		turns:   t,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Expected = t.estimates[service].Value(s.LongestPause)
	t.queue.Add(s, own)
	return own
}

// start starts the moves whose turn it is.
func (t *turns) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startNext()
}

// wait waits until the move may start; it must be ended then. It fails if ctx ends first.
func (own *turn) wait(ctx context.Context) error {
	select {
	case <-own.granted:
		return nil
	case <-ctx.Done():
	}
	t := own.turns
	t.mu.Lock()
	waited := t.queue.Remove(own)
	t.mu.Unlock()
	if !waited {
		own.end()
	}
	return ctx.Err()
}

// startNext starts the moves whose turn it is; mu is held.
func (t *turns) startNext() {
	now := time.Now()
	for {
		next, ok := t.queue.Next(now)
		if !ok {
			return
		}
		close(next.granted)
	}
}

// end lets the next move start. Calls after the first do nothing.
func (own *turn) end() {
	own.once.Do(func() {
		t := own.turns
		t.mu.Lock()
		defer t.mu.Unlock()
		t.queue.End(own)
		t.startNext()
	})
}

// observe records how long a move of a service's stream took.
func (t *turns) observe(service identifier.Service, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.estimates == nil {
		t.estimates = make(map[identifier.Service]*mover.Estimate)
	}
	e, ok := t.estimates[service]
	if !ok {
		e = &mover.Estimate{}
		t.estimates[service] = e
	}
	e.Add(d)
}
