package edge

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a silent stream that is ended although it can't go on at another engine (LOST on vssh
// grown scale-2: the budget for repeated sends was used up), and against a watch that ends with the
// first refusal.
func TestSilentEngineIsLeftOnlyForAnother(t *testing.T) {
	is := is.New(t)
	var allowed atomic.Bool
	cancelled := make(chan struct{})
	var asked atomic.Int32
	w := newWatchdog(func() { close(cancelled) }, 5*time.Millisecond, func() bool {
		asked.Add(1)
		return allowed.Load()
	})
	defer w.stop()
	for asked.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	is.True(!w.fired())
	allowed.Store(true)
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the watch ended with the first refusal")
	}
	is.True(w.fired())
}

// Guards against a watch that takes from the budget after its send has ended.
func TestStoppedWatchAsksNoMore(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	w := newWatchdog(func() {}, 2*time.Millisecond, func() bool {
		asked.Add(1)
		return false
	})
	for asked.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	w.stop()
	time.Sleep(5 * time.Millisecond) // A call that was under way has ended.
	before := asked.Load()
	time.Sleep(20 * time.Millisecond)
	is.Equal(asked.Load(), before)
}
