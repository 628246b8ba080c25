// Package worker runs the workers of a process, each in its own goroutine, and collects the first failure. A
// worker is a long-running goroutine that usually owns its data.
package worker

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Group runs workers with a common context. Cancelling the parent context does not cancel it, so that a
// process that stops can decide when its workers end.
type Group struct {
	name     string // prefix of errors
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	failures chan error // holds the first failure
}

// NewGroup returns an empty group with the values of the parent context. name is the prefix of its errors.
func NewGroup(parent context.Context, name string) *Group {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	return &Group{name: name, ctx: ctx, cancel: cancel, failures: make(chan error, 1)}
}

// Start starts a worker. Its context is cancelled when the group stops. An error other than
// context.Canceled is a failure of the group.
func (g *Group) Start(name string, run func(context.Context) error) {
	g.running.Go(func() {
		err := run(g.ctx)
		if err == nil || errors.Is(err, context.Canceled) {
			return
		}
		select {
		case g.failures <- fmt.Errorf("%s: %s: %w", g.name, name, err):
		default: // The first failure is enough to stop the process.
		}
	})
}

// Loop calls step after each signal on ready, and at the latest after the delay that next returns, until
// ctx is done. It returns the error of ctx.
func Loop(ctx context.Context, ready <-chan struct{}, next func() time.Duration, step func()) error {
	timer := time.NewTimer(next())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ready:
		case <-timer.C:
		}
		step()
		timer.Reset(next())
	}
}

// Failures returns a channel that delivers the first failure of a worker.
func (g *Group) Failures() <-chan error { return g.failures }

// Stop cancels the context of the workers and waits until they have returned.
func (g *Group) Stop() {
	g.cancel()
	g.running.Wait()
}
