// Package looper runs functions one after another on a single goroutine, which
// owns all control state.
package looper

import "context"

const backlog = 4096 // functions

// Loop is the control goroutine. Make it with New.
type Loop struct {
	work chan func()
	done chan struct{}
}

// New returns a loop that Run starts.
func New() *Loop {
	return &Loop{
		work: make(chan func(), backlog),
		done: make(chan struct{}),
	}
}

// Run calls posted functions in order until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.work:
			f()
		}
	}
}

// Post hands f to the loop and does not wait for it. A function on the loop
// must not post.
func (l *Loop) Post(f func()) {
	select {
	case l.work <- f:
	case <-l.done:
	}
}

// Do runs f on the loop and waits until it has returned or ctx ends. After an
// error f may still run: it must write to nothing that its caller reads.
func (l *Loop) Do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	l.Post(func() {
		defer close(ran)
		f()
	})
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return context.Canceled
	}
}

// Get runs f on the loop and returns its result. After an error f may still
// run, and its result is dropped: f must write to nothing that its caller reads.
func Get[T any](ctx context.Context, l *Loop, f func() T) (T, error) {
	result := make(chan T, 1)
	l.Post(func() { result <- f() })
	var none T
	select {
	case got := <-result:
		return got, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.done:
		return none, context.Canceled
	}
}
