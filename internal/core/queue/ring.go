package queue

import (
	"context"
	"sync"
)

// Ring is a bounded first-in, first-out queue between goroutines; it is safe for concurrent use.
type Ring[T any] struct {
	items  chan T
	closed chan struct{}
	once   sync.Once
}

// NewRing returns an open ring with a capacity of n items.
func NewRing[T any](n int) *Ring[T] {
	return &Ring[T]{items: make(chan T, n), closed: make(chan struct{})}
}

// TryPut adds v without waiting; it returns false if the ring is full or closed.
func (r *Ring[T]) TryPut(v T) bool {
	if r.IsClosed() {
		return false
	}
	select {
	case r.items <- v:
		return true
	default:
		return false
	}
}

// Put adds v and waits while the ring is full; it returns false if the ring is closed or ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) bool {
	if r.IsClosed() {
		return false
	}
	select {
	case r.items <- v:
		return true
	case <-r.closed:
		return false
	case <-ctx.Done():
		return false
	}
}

// Take removes the oldest item and waits while the ring is empty; it returns false if ctx ends first or the ring is
// closed and empty.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	default:
	}
	select {
	case v := <-r.items:
		return v, true
	case <-r.closed:
		return r.TryTake()
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryTake removes the oldest item without waiting; it returns false if the ring is empty.
func (r *Ring[T]) TryTake() (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Items returns the channel that items are received from, for use in a select statement. It is never closed.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Close makes the ring refuse further items; items already in it can still be taken. It may be called more than once.
func (r *Ring[T]) Close() { r.once.Do(func() { close(r.closed) }) }

// IsClosed reports whether Close has been called.
func (r *Ring[T]) IsClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}
