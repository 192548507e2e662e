// Package batcher collects items from many goroutines for one that takes them
// all at once.
package batcher

import (
	"context"
	"sync"
)

// Batch is a queue whose reader takes everything. Make it with New.
type Batch[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

// New returns an empty batch.
func New[T any]() *Batch[T] {
	return &Batch[T]{ready: make(chan struct{}, 1)}
}

// Add appends an item; it never blocks.
func (b *Batch[T]) Add(item T) {
	b.mu.Lock()
	b.items = append(b.items, item)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// Ready is signalled when there may be items.
func (b *Batch[T]) Ready() <-chan struct{} {
	return b.ready
}

// Take returns all items and empties the batch.
func (b *Batch[T]) Take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items
}

// Wait blocks until there are items, and takes them.
func (b *Batch[T]) Wait(ctx context.Context) ([]T, error) {
	for {
		if items := b.Take(); len(items) > 0 {
			return items, nil
		}
		select {
		case <-b.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
