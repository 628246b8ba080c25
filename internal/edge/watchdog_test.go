package edge

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSilentSendIsCancelledOnlyForRetry guards against ending a silent stream that cannot continue on another
// engine, and against a watchdog that stops after the first retry that it cannot reserve. A stream was lost
// this way (LOST on vssh grown scale-2) because the retry budget was used up.
func TestSilentSendIsCancelledOnlyForRetry(t *testing.T) {
	is := is.New(t)
	var allowed atomic.Bool
	cancelled := make(chan struct{})
	var calls atomic.Int32
	w := newWatchdog(func() { close(cancelled) }, 5*time.Millisecond, func() bool {
		calls.Add(1)
		return allowed.Load()
	})
	defer w.stop()
	for calls.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	is.True(!w.fired())
	allowed.Store(true)
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the watchdog stopped after a retry could not be reserved")
	}
	is.True(w.fired())
}

// TestStoppedWatchdogReservesNoRetry guards against a watchdog that takes retries from the budget after its
// send has ended.
func TestStoppedWatchdogReservesNoRetry(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	w := newWatchdog(func() {}, 2*time.Millisecond, func() bool {
		calls.Add(1)
		return false
	})
	for calls.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	w.stop()
	time.Sleep(5 * time.Millisecond) // lets a call in progress end
	before := calls.Load()
	time.Sleep(20 * time.Millisecond)
	is.Equal(calls.Load(), before)
}
