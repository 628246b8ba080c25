package duty

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a loop that misses a signal or its pause, or goes on after its context ended.
func TestLoopStepsOnSignalsAndPauses(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ready := make(chan struct{}, 1)
	pause := time.Hour
	steps := 0
	ready <- struct{}{}
	err := Loop(ctx, ready, func() time.Duration { return pause }, func() {
		steps++
		switch steps {
		case 1: // by the signal
			pause = time.Millisecond
		case 3: // by the pause, twice
			cancel()
			pause = time.Hour
		}
	})
	is.True(errors.Is(err, context.Canceled))
	is.Equal(steps, 3)
}
