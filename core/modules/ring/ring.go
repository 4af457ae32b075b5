// Package ring provides a bounded queue that joins one duty to the next.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in-first-out queue, safe for any number of writers and readers.
type Ring[T any] struct {
	// items never grows past the capacity given to New.
	items chan T
	// dropped counts the items that Offer turned away; it never decreases.
	dropped atomic.Uint64
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds an item without waiting and reports whether there was room.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put adds an item, waiting for room until the context ends.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Items returns the channel from which readers take items.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns how many items Offer has turned away.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
