// Package batcher provides a queue to which many goroutines add items and from which
// one goroutine takes all items at once.
package batcher

import (
	"context"
	"sync"
)

// Batch is a queue whose reader takes all items at once. Use New to create one.
type Batch[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

// New returns an empty batch.
func New[T any]() *Batch[T] {
	return &Batch[T]{ready: make(chan struct{}, 1)}
}

// Add appends an item. It doesn't wait for the reader.
func (b *Batch[T]) Add(item T) {
	b.mu.Lock()
	b.items = append(b.items, item)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that receives a value when there may be items.
func (b *Batch[T]) Ready() <-chan struct{} {
	return b.ready
}

// Drain removes and returns all items; nil if there are none.
func (b *Batch[T]) Drain() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items
}

// Wait blocks until there are items, and removes and returns them. It returns the
// error of ctx if ctx ends first.
func (b *Batch[T]) Wait(ctx context.Context) ([]T, error) {
	for {
		if items := b.Drain(); len(items) > 0 {
			return items, nil
		}
		select {
		case <-b.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
