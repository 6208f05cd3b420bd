// Package ring holds the bounded queue that joins one duty's goroutine to
// another's. A full ring refuses and counts in Offer, and makes the sender wait in Put.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue, safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds an item. It returns false when the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds an item, waiting for room until ctx ends. It returns false when ctx
// ended first.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Items returns the receiving end. It is never closed.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Refused returns how many items found the ring full.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
