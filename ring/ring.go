// Package ring provides the bounded queue that joins two duties.
package ring

import (
	"context"
	"fmt"
	"sync"
)

// FullError reports an Offer to a ring that holds as many items as it may.
type FullError struct {
	Capacity int // items
}

func (e *FullError) Error() string {
	return fmt.Sprintf("ring: full at %d items", e.Capacity)
}

// ClosedError reports a call on a ring that takes no more items.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "ring: closed" }

// Ring is a bounded first-in-first-out queue, safe for concurrent use.
// Offer never blocks, so a slow consumer cannot hold up its producers.
type Ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int
	length int
	closed bool
	ready  chan struct{}
}

// New returns an empty ring that holds at most capacity items; capacity must be positive.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{
		items: make([]T, max(1, capacity)),
		ready: make(chan struct{}, 1),
	}
}

// Offer appends v. It returns *FullError or *ClosedError when v was not taken.
func (r *Ring[T]) Offer(v T) error {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return &ClosedError{}
	}
	if r.length == len(r.items) {
		r.mu.Unlock()
		return &FullError{Capacity: len(r.items)}
	}
	r.items[(r.head+r.length)%len(r.items)] = v
	r.length++
	r.mu.Unlock()
	r.signal()
	return nil
}

// TryTake removes the oldest item without waiting; ok is false when the ring is empty.
func (r *Ring[T]) TryTake() (v T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pop()
}

// Drain takes what waits, oldest first, but no more than fits in the ring: under steady additions its
// caller still gets to its other work.
func (r *Ring[T]) Drain(take func(T)) {
	for range r.Cap() {
		v, ok := r.TryTake()
		if !ok {
			return
		}
		take(v)
	}
}

// Take removes the oldest item, waiting for one. It returns the context's error when ctx ends first,
// and *ClosedError when the ring is closed and empty.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	var zero T
	for {
		r.mu.Lock()
		v, ok := r.pop()
		more := r.length > 0
		closed := r.closed
		r.mu.Unlock()
		if ok {
			if more || closed {
				r.signal() // Another consumer may be waiting for the remaining items.
			}
			return v, nil
		}
		if closed {
			r.signal()
			return zero, &ClosedError{}
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			return zero, ctx.Err()
		}
	}
}

// Ready returns a channel that receives after items were added, for use in a select
// together with TryTake. A receive is a hint: the ring may be empty by then.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Close refuses further items; the remaining ones can still be taken.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.signal()
}

// Len returns the number of items held.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Cap returns the largest number of items held.
func (r *Ring[T]) Cap() int { return len(r.items) }

func (r *Ring[T]) pop() (v T, ok bool) {
	if r.length == 0 {
		return v, false
	}
	var zero T
	v = r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.length--
	return v, true
}

func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
