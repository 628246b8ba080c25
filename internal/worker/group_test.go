package worker

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a loop that misses a signal or the end of a delay, or continues after its context was
// cancelled.
func TestLoopStepsOnSignalsAndDelays(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ready := make(chan struct{}, 1)
	delay := time.Hour
	steps := 0
	ready <- struct{}{}
	err := Loop(ctx, ready, func() time.Duration { return delay }, func() {
		steps++
		switch steps {
		case 1: // after the signal
			delay = time.Millisecond
		case 3: // after two delays
			cancel()
			delay = time.Hour
		}
	})
	is.True(errors.Is(err, context.Canceled))
	is.Equal(steps, 3)
}
