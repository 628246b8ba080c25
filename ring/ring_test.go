package ring_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/ring"
)

// Guards against a full ring that blocks or overwrites items, and against a wrong order after the indices
// wrap around.
func TestRingIsBoundedAndOrdered(t *testing.T) {
	is := is.New(t)
	r := ring.New[int](2)
	is.NoErr(r.Offer(1))
	is.NoErr(r.Offer(2))
	var full *ring.FullError
	is.True(errors.As(r.Offer(3), &full))
	first, err := r.Take(context.Background())
	is.NoErr(err)
	is.Equal(first, 1)
	is.NoErr(r.Offer(3))
	r.Close()
	var closed *ring.ClosedError
	is.True(errors.As(r.Offer(4), &closed))
	for _, want := range []int{2, 3} {
		got, err := r.Take(context.Background())
		is.NoErr(err)
		is.Equal(got, want)
	}
	_, err = r.Take(context.Background())
	is.True(errors.As(err, &closed))
}

// Guards against a Drain that does not end while items are added, and against one that changes their order.
func TestDrainIsBounded(t *testing.T) {
	is := is.New(t)
	r := ring.New[int](4)
	for i := range 3 {
		is.NoErr(r.Offer(i))
	}
	var taken []int
	r.Drain(func(i int) {
		taken = append(taken, i)
		is.NoErr(r.Offer(i + 3)) // an item is added for each one taken
	})
	is.Equal(taken, []int{0, 1, 2, 3})
	is.Equal(r.Len(), 3)
}
