// Package swring provides the bounded queues between the system's goroutines.
package swring

import "context"

// Ring is a bounded first-in, first-out queue between goroutines. It never
// grows, and its methods are safe for concurrent use.
type Ring[T any] struct {
	// items has a fixed capacity. It is never closed, because a producer that sent
	// afterwards would panic.
	items chan T
}

// New returns an empty ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] { return &Ring[T]{items: make(chan T, capacity)} }

// TryPut adds an item if there is room, and reports whether there was.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Put waits for room and adds an item. It returns ctx's error if ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel to receive from, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int { return len(r.items) }
