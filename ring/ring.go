// Package ring provides a bounded queue between goroutines.
package ring

import (
	"context"
	"fmt"
	"sync"
)

// FullError reports an Offer to a ring that is full.
type FullError struct {
	Capacity int // items
}

func (e *FullError) Error() string {
	return fmt.Sprintf("ring: full at %d items", e.Capacity)
}

// ClosedError reports a call on a ring that was closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "ring: closed" }

// Ring is a bounded first-in-first-out queue, safe for concurrent use.
// Offer never blocks, so a slow consumer cannot delay its producers.
type Ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int // index of the oldest item
	length int // number of queued items
	closed bool
	ready  chan struct{}
}

// New returns an empty ring for at most capacity items. capacity must be positive.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{
		items: make([]T, max(1, capacity)),
		ready: make(chan struct{}, 1),
	}
}

// Offer appends v. It returns *FullError or *ClosedError when v was not added.
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

// TryTake removes and returns the oldest item without waiting; ok is false when the ring is empty.
func (r *Ring[T]) TryTake() (v T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pop()
}

// Drain passes the queued items to take, oldest first. It stops after as many items as the ring can hold, so
// that it returns even when items are added continuously.
func (r *Ring[T]) Drain(take func(T)) {
	for range r.Cap() {
		v, ok := r.TryTake()
		if !ok {
			return
		}
		take(v)
	}
}

// Take removes and returns the oldest item, and waits while the ring is empty. It returns the context's error
// when ctx ends first, and *ClosedError when the ring is closed and empty.
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

// Ready returns a channel that becomes readable after items were added, for use in a select together with
// TryTake. The ring may be empty again by the time of the receive.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Close makes Offer reject further items; the remaining ones can still be taken.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.signal()
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Cap returns the maximum number of queued items.
func (r *Ring[T]) Cap() int { return len(r.items) }

// pop removes the oldest item. The caller holds r.mu.
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

// signal makes the ready channel readable.
func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
