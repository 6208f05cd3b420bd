// Package ring provides a bounded queue between goroutines. When the queue is full,
// Offer rejects and counts the item, and Put blocks.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO queue. It is safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a ring with room for capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds an item without blocking. It returns false if the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds an item and blocks while the ring is full. It returns false if ctx ends
// first.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Items returns the channel to receive items from. It is never closed.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Refused returns how many items Offer has rejected.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
