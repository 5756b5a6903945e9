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

// NewRing returns a ring that holds at most n items.
func NewRing[T any](n int) *Ring[T] {
	return &Ring[T]{items: make(chan T, n), closed: make(chan struct{})}
}

// TryPut adds v and reports whether there was room and the ring was open.
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

// Put adds v, waits for room, and reports false when the ring is closed or ctx ends first.
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

// Take removes the oldest item, waits for one, and reports false when ctx ends or the ring is closed and empty.
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

// TryTake removes the oldest item and reports false when there is none.
func (r *Ring[T]) TryTake() (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Items returns the channel of items, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items held.
func (r *Ring[T]) Len() int { return len(r.items) }

// Close refuses further items; items already held can still be taken.
func (r *Ring[T]) Close() { r.once.Do(func() { close(r.closed) }) }

// IsClosed reports whether Close was called.
func (r *Ring[T]) IsClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}
