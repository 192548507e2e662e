// Package executor runs functions one after another on a single goroutine. State that
// only these functions access needs no lock.
package executor

import "context"

// backlog is how many posted functions can wait before Post blocks.
const backlog = 4096

// Loop is a queue of functions and the goroutine that runs them. Create it with New.
type Loop struct {
	functions chan func()
	done      chan struct{}
}

// New returns a loop, which runs nothing until Run is called.
func New() *Loop {
	return &Loop{
		functions: make(chan func(), backlog),
		done:      make(chan struct{}),
	}
}

// Run calls the posted functions in order until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.functions:
			f()
		}
	}
}

// Post queues f on the loop and does not wait until f has run; it waits only
// while the queue is full. A function that runs on the loop must therefore not
// call Post: on a full queue it would block for ever.
func (l *Loop) Post(f func()) {
	select {
	case l.functions <- f:
	case <-l.done:
	}
}

// Do runs f on the loop and waits until f has returned or ctx is done. If Do
// returns an error, f may be running or run later: it must not write to anything
// that its caller reads.
func (l *Loop) Do(ctx context.Context, f func()) error {
	returned := make(chan struct{})
	l.Post(func() {
		defer close(returned)
		f()
	})
	select {
	case <-returned:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return context.Canceled
	}
}

// Get runs f on the loop and returns its result. If Get returns an error, f may be
// running or run later, and its result is dropped: f must not write to anything
// that its caller reads.
func Get[T any](ctx context.Context, l *Loop, f func() T) (T, error) {
	result := make(chan T, 1)
	l.Post(func() { result <- f() })
	var zero T
	select {
	case value := <-result:
		return value, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.done:
		return zero, context.Canceled
	}
}
